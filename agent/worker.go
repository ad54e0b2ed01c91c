package agent

import (
	"context"

	"github.com/baobabshore/baobabshore/clock"
	"github.com/baobabshore/baobabshore/ids"
	"github.com/baobabshore/baobabshore/wire"
	"github.com/baobabshore/baobabshore/worker"
)

// WorkerOpener returns a function that opens the worker that client reaches. The
// incarnation is the fencing token, so the worker rejects requests of earlier ones.
// All incarnations share the client.
func WorkerOpener(client worker.Client, cfg worker.Config) OpenWorker {
	return func(ctx context.Context, self ids.Incarnation, c *clock.Stopwatch, ended func(wire.Answer)) (Worker, error) {
		cfg.Fence = worker.NewFence(uint64(self))
		runner := worker.NewRunner(cfg, client, c, ended)
		if err := runner.WaitOrphansCleared(ctx); err != nil {
			runner.Close()
			return nil, err
		}
		return runner, nil
	}
}
