package site

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// SetLeaving makes the target say, or not, that it leaves in its answers to reports, health checks and orders.
func (t *Target) SetLeaving(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = leaving
}

// SetRest makes the target refuse calls of its control paths and ask for a rest, or accept them again if that is 0.
func (t *Target) SetRest(rest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rest = rest
}

// ControlCalls returns the times of the calls of its control paths.
func (t *Target) ControlCalls() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]time.Time(nil), t.controlCalls...)
}

// refuseControl records a call of a control path and returns the rest that its refusal asks for, 0 if it is accepted.
func (t *Target) refuseControl() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.controlCalls = append(t.controlCalls, time.Now())
	return t.rest
}

// isControlPath reports whether a path is one of those that serveControl responds to.
func isControlPath(path string) bool {
	return path == "/healthz" || path == "/-/report" || path == "/-/order"
}

// controlHeaders returns the headers of answers to control paths.
func (t *Target) controlHeaders() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		return LeavingHeader
	}
	return ""
}

// LeavingHeader is the header line of a target that leaves.
const LeavingHeader = "Server-Leaving: 1\r\n"

// serveControl responds to health checks, requests for a report and orders; it returns false for other requests.
func (t *Target) serveControl(conn net.Conn, request *http.Request, body []byte) bool {
	if !isControlPath(request.URL.Path) {
		return false
	}
	if t.isFrozen() {
		_, _ = conn.Read(make([]byte, 1)) // until the caller closes the connection
		return true
	}
	if rest := t.refuseControl(); rest > 0 {
		writeResponse(conn, http.StatusServiceUnavailable, fmt.Sprintf("Retry-After: %.3f\r\n", rest.Seconds()), "")
		return true
	}
	switch request.URL.Path {
	case "/healthz":
		writeResponse(conn, http.StatusOK, "X-Gypsumbank-Instance-Id: "+t.id+"\r\n"+t.controlHeaders(), "")
	case "/-/report":
		report, err := json.Marshal(map[string]any{
			"models": t.loadedModels(), "busy": false, "sequence": t.orderSequence(), "waiting": 0, "running": 0, "kvUsed": 0,
			"kvTotal": 1000000, "state": "ready", "born": t.Run(), "coming": []string{}, "atHand": map[string]any{"inMemory": []string{}, "onDisk": t.modelsOnDisk()},
		})
		if err != nil {
			return false
		}
		writeResponse(conn, http.StatusOK, t.controlHeaders(), string(report))
	case "/-/order":
		t.handleOrder(conn, body)
	}
	return true
}

// handleOrder accepts and applies an order if it expects as many accepted orders as there were in this run; otherwise
// it responds with status 409.
func (t *Target) handleOrder(conn net.Conn, body []byte) {
	var order Order
	if err := json.Unmarshal(body, &order); err != nil {
		writeResponse(conn, http.StatusBadRequest, "", "")
		return
	}
	t.mu.Lock()
	order.Accepted, order.At, order.Run = order.Expected == t.acceptedOrdersLocked(), time.Now(), t.runNumber
	order.FromWeightStore = order.Accepted && order.Op == "loading" && order.Adapter == "" && !t.onDisk[order.Model]
	if order.Accepted {
		t.applyOrder(order)
		t.countOverrunLocked()
	}
	t.orders = append(t.orders, order)
	unanswered := t.unansweredOrders > 0
	if unanswered {
		t.unansweredOrders--
	}
	t.mu.Unlock()
	switch {
	case unanswered:
		time.Sleep(time.Second)
	case order.Accepted:
		writeResponse(conn, http.StatusAccepted, t.controlHeaders(), "")
	default:
		writeResponse(conn, http.StatusConflict, t.controlHeaders(), "")
	}
}

// applyOrder loads or unloads at once; a model that is loaded again loses its adapters. The caller holds mu.
func (t *Target) applyOrder(order Order) {
	switch {
	case order.Op == "unloading" && order.Adapter == "":
		delete(t.loaded, order.Model)
	case order.Op == "unloading":
		remaining := []string{}
		for _, adapter := range t.loaded[order.Model] {
			if adapter != order.Adapter {
				remaining = append(remaining, adapter)
			}
		}
		t.loaded[order.Model] = remaining
	case order.Adapter == "":
		t.loaded[order.Model], t.onDisk[order.Model] = nil, true
	default:
		t.loaded[order.Model] = append(t.loaded[order.Model], order.Adapter)
	}
}

func writeResponse(conn net.Conn, status int, headers, body string) {
	_, _ = io.WriteString(conn, formatResponse(status, headers, body)) // if the caller has left, the next read fails
}
