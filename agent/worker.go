package agent

import (
	"context"

	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
	"github.com/baobabshore/baobabshore/worker"
)

// WorkerBehind opens the worker behind a port. The incarnation is its fence. A
// later incarnation uses the same port.
func WorkerBehind(port worker.Client, cfg worker.Config) OpenWorker {
	return func(ctx context.Context, self ids.Incarnation, ended func(wire.Answer)) (Worker, error) {
		cfg.Fence = worker.Fence(self)
		r := worker.NewRunner(cfg, port, ended)
		if err := r.WaitOrphansCleared(ctx); err != nil {
			r.Close()
			return nil, err
		}
		return r, nil
	}
}
