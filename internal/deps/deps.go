//go:build tools

// Package deps pins the libraries that are declared before their first use.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/google/uuid"
	_ "github.com/jonboulle/clockwork"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/rs/zerolog"
	_ "github.com/thejerf/suture/v4"
	_ "github.com/urfave/cli/v3"
	_ "github.com/vmihailenco/msgpack/v5"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
)
