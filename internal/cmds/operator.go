package cmds

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/holder"
)

// decisionTimeout is how long an operator waits for an edit, which may queue behind another's trial.
const decisionTimeout = 3 * time.Minute

// maxAnswerBytes bounds the answer of a node, which is largest for the decisions that it keeps in memory.
const maxAnswerBytes = 64 << 20

// page is one request to a node's operators' listener.
type page struct {
	method, path string
	query        url.Values
	body         string
}

// ask sends the request and decodes the answer; a fault that the node names is returned as such.
func (p page) ask(ctx context.Context, address string, into any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	target := "http://" + address + p.path + "?" + p.query.Encode()
	request, err := http.NewRequestWithContext(ctx, p.method, target, strings.NewReader(p.body))
	if err != nil {
		return nil, errors.Wrapf(err, "ask %s", address)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "ask %s", address)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "read answer of %s", address)
	}
	if len(body) > maxAnswerBytes {
		return nil, errors.Wrapf(ErrOperator, "answer of %s exceeds %d bytes", address, maxAnswerBytes)
	}
	var fault holder.ErrorResponse
	if answer.StatusCode >= http.StatusBadRequest && json.Unmarshal(body, &fault) == nil && fault.Error != "" {
		if len(fault.Problems) > 0 {
			return nil, fault.Problems
		}

		return nil, errors.Wrap(ErrOperator, fault.Error)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return nil, errors.Wrapf(ErrOperator, "%s answers %s", address, answer.Status)
	}

	return body, nil
}
