package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"gypsumbank/completeness"
	"gypsumbank/framing"
	"gypsumbank/link"
	"gypsumbank/pause"
	"gypsumbank/soak"
)

// closeSeries are series in which callers use kept connections around the moments at which gateways close them.
var closeSeries = []func(*soakDeployment, context.Context){(*soakDeployment).sendOnKeptConnections, (*soakDeployment).changeIdleTimeouts, (*soakDeployment).stopGateways}

// farOneWay is the time in one direction to a caller who is far away.
const farOneWay = 150 * time.Millisecond

// changeIdleTimeouts lowers and raises the idle timeout of callers, until ctx ends.
func (s *soakDeployment) changeIdleTimeouts(ctx context.Context) {
	rng := s.seriesRand(40)
	defer s.idleTimeoutMs.Store(defaultIdleTimeoutMs)
	for pause.For(ctx, between(rng, 300*time.Millisecond, 2*time.Second)) == nil {
		timeout := []int64{1000, 2500, defaultIdleTimeoutMs}[rng.IntN(3)]
		s.logFault("idle timeout of %d ms", timeout)
		s.idleTimeoutMs.Store(timeout)
		s.publishRoutes()
	}
}

// sendOnKeptConnections has callers, near and far, send requests on connections that they leave idle for a while between them, until ctx ends.
func (s *soakDeployment) sendOnKeptConnections(ctx context.Context) {
	const callersPerGateway = 4
	var callers sync.WaitGroup
	defer callers.Wait()
	for i, gateway := range s.nodes[len(s.nodes)-s.size*gatewaysPerSize:] {
		far, err := link.New(gateway.listenAddress)
		if err != nil {
			s.t.Error(err)
			return
		}
		defer far.Close()
		far.SetDelay(farOneWay)
		for caller := range callersPerGateway {
			address := gateway.listenAddress
			if caller%2 == 1 {
				address = far.Address()
			}
			k := &keptCaller{soakDeployment: s, gateway: gateway, address: address, rng: s.seriesRand(50 + uint64(callersPerGateway*i+caller))}
			callers.Go(func() { k.run(ctx) })
		}
	}
}

// keptCaller sends requests on a connection for as long as the gateway keeps it.
type keptCaller struct {
	*soakDeployment
	gateway *soakNode
	address string
	rng     *rand.Rand
	conn    net.Conn
	reader  *bufio.Reader
}

func (k *keptCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if k.conn == nil && !k.connect() {
			_ = pause.For(ctx, 50*time.Millisecond)
			continue
		}
		if !k.send() {
			k.conn.Close()
			k.conn = nil
		}
		// Short pauses and long ones, up to beyond the shortest idle timeout.
		_ = pause.For(ctx, between(k.rng, 0, []time.Duration{50 * time.Millisecond, 1500 * time.Millisecond}[k.rng.IntN(2)]))
	}
	if k.conn != nil {
		k.conn.Close()
	}
}

func (k *keptCaller) connect() bool {
	conn, err := net.Dial("tcp", k.address)
	if err != nil {
		return false
	}
	k.conn, k.reader = conn, bufio.NewReader(conn)
	return true
}

// send sends one request, in one piece or two, and passes the answer to the checker. It returns whether the connection may be used again.
func (k *keptCaller) send() (keep bool) {
	const body = "0123456789"
	id := "k" + strconv.FormatInt(k.lastRequestID.Add(1), 10)
	method, path, longest, rest := http.MethodGet, "/safe/", routeTimeout, ""
	if k.rng.IntN(2) == 0 {
		method, path, longest, rest = http.MethodPost, "/unsafe/", unsafeTimeout, body
	}
	request := fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: callers.example\r\nX-Gypsumbank-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, id, id, len(rest), rest)
	k.checker.RecordRequest(id, method == http.MethodPost)
	_, process := k.gateway.currentProcess()
	k.checker.RecordSender(id, process, time.Now(), longest)
	result := soak.Response{ID: id, WantBody: "for " + id}
	cut := 1 + k.rng.IntN(len(request)-1)
	if k.rng.IntN(3) > 0 {
		cut = len(request)
	}
	_, err := io.WriteString(k.conn, request[:cut])
	if err == nil && cut < len(request) {
		time.Sleep(between(k.rng, 0, 200*time.Millisecond))
		_, err = io.WriteString(k.conn, request[cut:])
	}
	if err == nil {
		keep = k.receive(method, &result, process)
	}
	result.At = time.Now()
	k.checker.CheckResponse(result)
	return keep
}

// receive reads the answer to a request. It returns whether the connection may be used again.
func (k *keptCaller) receive(method string, result *soak.Response, process string) (keep bool) {
	_ = k.conn.SetReadDeadline(time.Now().Add(callerTimeout))
	response, err := http.ReadResponse(k.reader, &http.Request{Method: method})
	if err != nil {
		result.CallerLeft = errors.Is(err, os.ErrDeadlineExceeded)
		return false
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	result.Status, result.Body, result.Completeness = response.StatusCode, string(received), completeness.Of(framing.Of(response), err)
	k.recordLeaving(process, response.Header)
	return err == nil && !response.Close
}

// hasRead reports whether a gateway process has read a request, as its log shows.
func (s *soakDeployment) hasRead(process, requestID string) bool {
	for _, n := range s.nodes {
		n.mu.Lock()
		output := n.outputs[process]
		n.mu.Unlock()
		if output != nil {
			return strings.Contains(output.String(), `"request":"`+requestID+`"`)
		}
	}
	return false
}
