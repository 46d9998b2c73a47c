//go:build deps

package main

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cloudwego/hertz/pkg/app/server"
	_ "github.com/cockroachdb/errors"
	_ "github.com/google/uuid"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/qmuntal/stateless"
	_ "github.com/stretchr/testify/require"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "golang.org/x/sync/errgroup"
	_ "gonum.org/v1/plot"
	_ "pgregory.net/rapid"
)

func main() {}
