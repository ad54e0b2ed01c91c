package intake

import (
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// Errors with which a request is refused before any handler sees it.
var (
	ErrTooLarge = errors.New("the body is too large")
	ErrNoRoom   = errors.New("there is no room for the body now")
	ErrBroken   = errors.New("the body did not arrive")
	ErrTimeout  = errors.New("the body did not arrive in time")
)

// Serve returns the handler of an HTTP server with StreamRequestBody. It reads the body
// within the gate's limits and passes the request to next, or calls refuse with one of the
// errors above and closes the connection once that answer is sent. A panic of next is
// answered with status 500 and ends the connection.
func (g *Gate) Serve(next fasthttp.RequestHandler, refuse func(*fasthttp.RequestCtx, error)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		c, ok := connOf(ctx.Conn())
		if !ok {
			c = &conn{Conn: ctx.Conn(), gate: g, outside: true}
		}
		if c.answered.Swap(false) {
			g.endRequest(c) // this request arrived together with the one before
		}
		defer g.endHandler(c)
		body, err := g.readRequest(ctx, c)
		if err != nil {
			g.countRefusal(err)
			refuse(ctx, err)
			LingerOnClose(ctx)
			ctx.SetConnectionClose()
			return
		}
		g.beginAnswer(c)
		defer g.recoverHandler(ctx)
		if body != nil {
			ctx.Request.SetBodyRaw(body)
		}
		next(ctx)
	}
}

// endHandler leaves the bytes of a request taken until its answer has been written: the
// connection is then read again or closed.
func (g *Gate) endHandler(c *conn) {
	if c.outside {
		g.endRequest(c)
		return
	}
	c.answered.Store(true)
}

// Reserve takes n more bytes for a request that is being handled, until its answer has been
// written. It fails with ErrNoRoom.
func Reserve(ctx *fasthttp.RequestCtx, n int64) error {
	c, ok := connOf(ctx.Conn())
	if ok && !c.gate.reserve(c, n) {
		c.gate.metrics.noRoom.Inc(1)
		return ErrNoRoom
	}
	return nil
}

// TakeAnswer takes n bytes for an answer that is in memory already, until it has been
// written.
func TakeAnswer(ctx *fasthttp.RequestCtx, n int) {
	if c, ok := connOf(ctx.Conn()); ok {
		c.gate.takeAnswer(c, int64(n))
	}
}

func (g *Gate) takeAnswer(c *conn, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.force(n)
	g.hold(c, n)
}

// LingerOnClose makes the close of a request's connection wait for its peer, which may
// still be sending when it is refused.
func LingerOnClose(ctx *fasthttp.RequestCtx) {
	if c, ok := connOf(ctx.Conn()); ok {
		c.linger.Store(true)
	}
}

func (g *Gate) countRefusal(err error) {
	switch {
	case errors.Is(err, ErrTooLarge):
		g.metrics.tooLarge.Inc(1)
	case errors.Is(err, ErrNoRoom):
		g.metrics.noRoom.Inc(1)
	}
}

// recoverHandler answers a request whose handler panicked.
func (g *Gate) recoverHandler(ctx *fasthttp.RequestCtx) {
	p := recover()
	if p == nil {
		return
	}
	g.RecordPanic(p)
	ctx.Error("the handler of this request failed", fasthttp.StatusInternalServerError)
	ctx.SetConnectionClose()
}

// readRequest reads the body of a request. It returns nil if there is none.
func (g *Gate) readRequest(ctx *fasthttp.RequestCtx, c *conn) ([]byte, error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil, nil
	}
	if err := c.SetReadDeadline(ctx.Time().Add(g.limits.ReadTimeout)); err != nil {
		return nil, ErrBroken
	}
	return g.readBody(c, stream, max(ctx.Request.Header.ContentLength(), -1), g.limits.BodyBytes)
}

// Server returns an HTTP server for the handler of a gate. The caller sets the time-outs
// and the size of headers.
func (g *Gate) Server(next fasthttp.RequestHandler, refuse func(*fasthttp.RequestCtx, error)) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:           g.Serve(next, refuse),
		StreamRequestBody: true,
		// The gate refuses larger bodies itself.
		MaxRequestBodySize:           g.limits.BodyBytes,
		DisablePreParseMultipartForm: true,
		ReadTimeout:                  g.limits.ReadTimeout,
		// Connections that the gate has closed end a moment later.
		Concurrency: 2*g.limits.Connections + 1,
	}
}
