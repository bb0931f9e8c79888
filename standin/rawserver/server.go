package rawserver

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
)

// AnyPort is an address at which New listens on a free port.
const AnyPort = "127.0.0.1:0"

// Server accepts connections and has each one served by a function.
type Server struct {
	listener net.Listener
	ended    chan struct{} // closed once no connection is accepted any more
}

// New returns a server at address that closes each connection once serve has returned.
func New(address string, serve func(conn net.Conn)) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("raw server: %w", err)
	}
	s := &Server{listener: listener, ended: make(chan struct{})}
	go func() {
		defer close(s.ended)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return s, nil
}

// Answering returns a function for New that reads one request, its body excepted, and has it answered.
func Answering(answer func(conn net.Conn, request *http.Request)) func(conn net.Conn) {
	return func(conn net.Conn) {
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			answer(conn, request)
		}
	}
}

// Address returns the address at which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close has no further connections accepted. Those that are open are left to their functions.
func (s *Server) Close() {
	_ = s.listener.Close()
	<-s.ended
}
