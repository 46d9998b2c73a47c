package plat

import (
	"context"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/config"
)

// Paths of the platform's interface.
const (
	PathTable   = "/table/"
	PathList    = "/table"
	PathObjects = "/objects/"
	pathFault   = "/admin/fault"
	pathSave    = "/admin/save"
	pathRestore = "/admin/restore"
	pathCounts  = "/admin/counts"
)

const maxList = 1000

// Listing is the answer to a list request.
type Listing struct {
	Rows []Row `json:"rows"`
}

func (p *Platform) route(engine *server.Hertz) {
	engine.PUT(pathFault, p.putFault)
	engine.GET(pathFault, func(_ context.Context, c *app.RequestContext) { c.JSON(consts.StatusOK, p.state.currentFault()) })
	engine.POST(pathSave, func(_ context.Context, _ *app.RequestContext) { p.Save() })
	engine.POST(pathRestore, func(_ context.Context, _ *app.RequestContext) { p.Restore() })
	engine.GET(pathCounts, func(_ context.Context, c *app.RequestContext) { c.JSON(consts.StatusOK, p.Counts()) })
	served := engine.Group("", p.failing)
	served.GET(PathList, p.list)
	served.GET(PathTable+"*key", p.get(p.state.rows))
	served.PUT(PathTable+"*key", p.put(p.state.rows))
	served.DELETE(PathTable+"*key", p.remove)
	served.GET(PathObjects+"*key", p.get(p.state.objects))
	served.PUT(PathObjects+"*key", p.put(p.state.objects))
}

func (p *Platform) putFault(_ context.Context, c *app.RequestContext) {
	fault := Fault{
		Mode: Mode(c.Query("mode")), Prefix: c.Query("prefix"), Writes: c.Query("writes") == "true",
	}
	if _, err := ParseMode(string(fault.Mode)); err != nil {
		c.String(consts.StatusBadRequest, err.Error())

		return
	}
	if text := c.Query("delay"); text != "" {
		delay, err := time.ParseDuration(text)
		if err != nil {
			c.String(consts.StatusBadRequest, err.Error())

			return
		}
		fault.Delay = config.Duration(delay)
	}
	p.SetFault(fault)
}

// failing brings about the fault that is switched on.
func (p *Platform) failing(ctx context.Context, c *app.RequestContext) {
	write := !c.IsGet()
	p.state.count(write)
	fault := p.state.currentFault()
	if !fault.hits(write, c.Param("key")) {
		return
	}
	switch fault.Mode {
	case ModeDown:
		cut(c)
		c.Abort()
	case ModeRefuse:
		c.AbortWithStatus(consts.StatusServiceUnavailable)
	case ModeSlow:
		wait(ctx, fault.Delay.Std())
	case ModeNoAnswer:
		c.Next(ctx)
		cut(c)
	case ModeNone:
	}
}

func wait(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

var errCut = errors.New("connection cut on purpose")

// cutter writes no answer and makes the server close the connection.
type cutter struct{}

func cut(c *app.RequestContext) {
	c.Response.HijackWriter(cutter{})
}

// Write drops the bytes.
func (cutter) Write(b []byte) (int, error) { return len(b), nil }

// Flush sends nothing.
func (cutter) Flush() error { return nil }

// Finalize fails, upon which the server closes the connection.
func (cutter) Finalize() error { return errCut }

func (p *Platform) get(space map[string]Row) app.HandlerFunc {
	return func(_ context.Context, c *app.RequestContext) {
		row, found := p.state.get(space, c.Param("key"))
		if !found {
			c.SetStatusCode(consts.StatusNotFound)

			return
		}
		c.Header("ETag", row.ETag)
		if string(c.GetHeader("If-None-Match")) == row.ETag {
			c.SetStatusCode(consts.StatusNotModified)

			return
		}
		c.Data(consts.StatusOK, "application/octet-stream", row.Value)
	}
}

func (p *Platform) put(space map[string]Row) app.HandlerFunc {
	return func(_ context.Context, c *app.RequestContext) {
		row, written := p.state.put(space, c.Param("key"), c.Request.Body(), conditionOf(c))
		c.Header("ETag", row.ETag)
		if !written {
			c.SetStatusCode(consts.StatusPreconditionFailed)
		}
	}
}

func (p *Platform) remove(_ context.Context, c *app.RequestContext) {
	removed, found := p.state.remove(c.Param("key"), conditionOf(c))
	switch {
	case !found:
		c.SetStatusCode(consts.StatusNotFound)
	case !removed:
		c.SetStatusCode(consts.StatusPreconditionFailed)
	}
}

func conditionOf(c *app.RequestContext) Condition {
	return Condition{
		IfMatch:  string(c.GetHeader("If-Match")),
		IfAbsent: strings.TrimSpace(string(c.GetHeader("If-None-Match"))) == "*",
	}
}

func (p *Platform) list(_ context.Context, c *app.RequestContext) {
	c.JSON(consts.StatusOK, Listing{Rows: p.state.list(c.Query("prefix"), c.Query("after"), maxList)})
}
