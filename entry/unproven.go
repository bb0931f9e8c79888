package entry

import (
	"net"

	"github.com/valyala/fasthttp"

	"gypsumbank/resetguard"
)

// endWithConnection has an answer that is not known to be whole sent without a length, so that it ends with the caller's connection, as
// it did with the service's. fasthttp frames whatever it sends, so that the answer is written in its place.
func (e *Entry) endWithConnection(ctx *fasthttp.RequestCtx) {
	const noLength = -2
	ctx.Response.Header.SetContentLength(noLength)
	message := append([]byte(nil), ctx.Response.Header.Header()...)
	message = append(message, ctx.Response.Body()...)
	e.activeRequests.Add(1)
	ctx.HijackSetNoResponse(true)
	callerConn := ctx.Conn()
	ctx.Hijack(func(conn net.Conn) {
		defer e.activeRequests.Add(-1)
		guard := resetguard.New(callerConn)
		if _, err := conn.Write(message); err != nil {
			return // the caller has left
		}
		guard.Lift()
	})
}
