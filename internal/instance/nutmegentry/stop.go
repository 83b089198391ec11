package nutmegentry

import (
	"context"
	"errors"
	"time"
)

// Stop shuts the instance down gracefully within ctx.
func (e *Entry) Stop(ctx context.Context) error {
	d := newDrain(time.Now(), time.Duration(e.cfg.Settings.Limits.StopTimeout))
	e.drain.Store(d)
	e.event("stop").WithField("running", e.running.Load()).Info("instance is stopping")
	drainCtx, cancel := context.WithDeadline(ctx, d.cutoff)
	defer cancel()
	e.awaitIdle(drainCtx)
	err := e.callers.Stop(drainCtx)
	e.abortRequests(errStopped)
	finishCtx, cancelFinish := context.WithTimeout(context.WithoutCancel(ctx), d.finish.Sub(d.cutoff))
	defer cancelFinish()
	err = errors.Join(err, e.meter.Stop(finishCtx))
	e.stopFollowing()
	<-e.configFetchDone
	<-e.overload.done
	<-e.suspectStore.done
	<-e.rateInformer.done
	e.streams.Wait()
	e.evacuations.wait()
	e.roster.Stop()
	e.pool.Stop()
	e.readiness.Kill()
	if e.metricsServer != nil {
		e.metricsServer.Kill()
	}
	e.event("stopped").Info("instance stopped")
	return err
}

// awaitIdle waits until the load balancer has stopped sending requests and no
// request is running here or holds a reservation here, or until ctx ends.
func (e *Entry) awaitIdle(ctx context.Context) {
	timer := time.NewTimer(balancerDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if e.running.Load() == 0 && e.meter.PeerReservations() == 0 {
			return
		}
		timer.Reset(idlePollInterval)
	}
}
