package fake

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
)

// Paths of the control interface.
const (
	pathBehaviour = "/_fake/behaviour"
	pathTotals    = "/_fake/totals"
)

func (s *Server) showBehaviour(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, s.Behaviour())
}

// putBehaviour changes the members that the body names.
func (s *Server) putBehaviour(_ context.Context, c *app.RequestContext) {
	behaviour := s.Behaviour()
	if err := json.Unmarshal(c.Request.Body(), &behaviour); err != nil {
		c.String(http.StatusBadRequest, err.Error()+"\n")

		return
	}
	s.Set(behaviour)
	c.JSON(http.StatusOK, behaviour)
}

func (s *Server) showTotals(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, s.ledger.Totals())
}
