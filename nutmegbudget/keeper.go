package nutmegbudget

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// KeeperConfig configures a keeper.
type KeeperConfig struct {
	Writer *nutmegstore.Writer
	Terms  func(id nutmegid.BudgetID) Terms
	Shards int
	// GatherTime is how long batches wait for others; DefaultGatherTime when zero.
	GatherTime time.Duration
}

// Keeper commits the batches of several holders with one write. It is an
// optimisation: a batch applies once by its number, whoever writes it, so a
// keeper that was replaced, paused or cut off does no harm.
type Keeper struct {
	cfg    KeeperConfig
	queues []*keeperQueue
}

// keeperQueue gathers the batches of one shard.
type keeperQueue struct {
	keeper *Keeper
	shard  int

	mu      sync.Mutex
	waiting []*keeperJob
	running bool
}

type keeperJob struct {
	batch  Batch
	answer chan keeperAnswer
}

type keeperAnswer struct {
	result Result
	err    error
}

// NewKeeper returns a keeper for all shards.
func NewKeeper(cfg KeeperConfig) *Keeper {
	if cfg.GatherTime == 0 {
		cfg.GatherTime = DefaultGatherTime
	}
	k := &Keeper{cfg: cfg}
	for shard := range max(1, cfg.Shards) {
		k.queues = append(k.queues, &keeperQueue{keeper: k, shard: shard})
	}
	return k
}

// Commit writes a batch together with those of other holders, and returns the
// shard's state after it.
func (k *Keeper) Commit(ctx context.Context, shard int, batch Batch) (Result, error) {
	if shard < 0 || shard >= len(k.queues) {
		return Result{}, &Error{Kind: KindBadAmount, Detail: "the shard does not exist here", Remedy: "give all instances the same budget.shards"}
	}
	job := &keeperJob{batch: batch, answer: make(chan keeperAnswer, 1)}
	k.queues[shard].add(job)
	select {
	case a := <-job.answer:
		return a.result, a.err
	case <-ctx.Done():
		return Result{}, ctx.Err()
	}
}

func (q *keeperQueue) add(job *keeperJob) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, job)
	if !q.running {
		q.running = true
		go q.run()
	}
}

// run commits until no batch waits.
func (q *keeperQueue) run() {
	for {
		time.Sleep(q.keeper.cfg.GatherTime)
		q.mu.Lock()
		jobs := q.waiting
		q.waiting = nil
		q.running = len(jobs) > 0
		q.mu.Unlock()
		if len(jobs) == 0 {
			return
		}
		q.commit(jobs)
	}
}

func (q *keeperQueue) commit(jobs []*keeperJob) {
	ctx, cancel := context.WithTimeout(context.Background(), DefaultCommitTimeout)
	defer cancel()
	for len(jobs) > 0 {
		bad, doc, err := q.write(ctx, jobs)
		if bad != nil {
			bad.answer <- keeperAnswer{err: err}
			jobs = slices.DeleteFunc(jobs, func(j *keeperJob) bool { return j == bad })
			continue
		}
		for _, job := range jobs {
			if err != nil {
				job.answer <- keeperAnswer{err: err}
				continue
			}
			job.answer <- keeperAnswer{result: doc.result(job.batch)}
		}
		return
	}
}

// write applies all batches with one update. A batch that cannot be applied is
// returned with its error, and nothing is written.
func (q *keeperQueue) write(ctx context.Context, jobs []*keeperJob) (*keeperJob, *Shard, error) {
	var bad *keeperJob
	key := nutmegstore.Key{Kind: ShardKind, Name: ShardName(q.shard)}
	doc, err := nutmegstore.Update(ctx, q.keeper.cfg.Writer, key, func(s *Shard) error {
		changed := false
		for _, job := range jobs {
			err := s.Apply(job.batch, func(id nutmegid.BudgetID) Policy { return q.keeper.cfg.Terms(id).Policy })
			if err != nil && !errors.Is(err, nutmegstore.ErrUnchanged) {
				bad = job
				return err
			}
			changed = changed || err == nil
		}
		if !changed {
			return nutmegstore.ErrUnchanged
		}
		return nil
	})
	return bad, &doc.Body, err
}

// route returns the way to the shard's keeper, nil for a direct write.
func (c *committer) route() func(context.Context, int, Batch) (Result, error) {
	cfg := c.holder.cfg
	if cfg.Keeper == nil || cfg.Peers == nil || c.keeper == "" || c.keeper == c.unreachable {
		return nil
	}
	if c.keeper == cfg.Incarnation {
		return cfg.Keeper.Commit
	}
	keeper := c.keeper
	return func(ctx context.Context, shard int, batch Batch) (Result, error) {
		return cfg.Peers.Commit(ctx, keeper, shard, batch)
	}
}

// claimsKeeper reports whether this holder should become the shard's keeper:
// the live holder that rendezvous hashing chooses, so that shards spread.
func (c *committer) claimsKeeper() bool {
	cfg := c.holder.cfg
	if cfg.Keeper == nil || cfg.Peers == nil || c.keeper == cfg.Incarnation || c.failures > 0 || c.closed.Load() {
		return false
	}
	mine := c.weight(cfg.Incarnation)
	for _, peer := range cfg.Peers.Live() {
		if c.weight(peer) > mine {
			return false
		}
	}
	return true
}

func (c *committer) weight(inc nutmegid.Incarnation) uint64 {
	return xxhash.Sum64String(string(inc) + ShardName(c.shard))
}
