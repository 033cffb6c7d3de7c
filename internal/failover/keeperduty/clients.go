package keeperduty

import (
	"context"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/process/duty"
)

const (
	// RecordName is the name of the object in the store that holds the keeper's
	// record.
	RecordName = "keeper"
	// storeTimeout is the timeout of a read or write of the record.
	storeTimeout = 1500 * time.Millisecond
	// watchTimeout is how long a watch waits for a change of the record;
	// storeTimeout is added for the answer.
	watchTimeout = 4 * time.Second
	// notifiedPollInterval is the time between checks that the lease holder still
	// reports changes to this instance.
	notifiedPollInterval = 100 * time.Millisecond
	// watchRetryDelay is the delay after a watch that failed or found no record.
	watchRetryDelay = 250 * time.Millisecond
	// maxWatchRetryDelay is the maximum of that delay while the lease holder answers this
	// instance. It doubles with each further failure, because calls that the store rejects
	// are billed too.
	maxWatchRetryDelay = time.Second
)

// recordRequest is a call to the store: a write of the record, or a read when write
// is nil.
type recordRequest struct {
	write *keeper.Write
}

// recordClient reads and writes the record, one call at a time, on a thread that
// may block.
type recordClient struct {
	duty.HandlerDefaults

	store rosemarylb.Store
	ring  *duty.Ring[Event]
}

// Handle implements duty.Handler. It blocks until the store answers or storeTimeout
// has passed.
func (c recordClient) Handle(_ time.Time, request recordRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if request.write == nil {
		object, err := c.store.Get(ctx, RecordName)
		if err != nil {
			c.ring.Put(readFailed{})
			return
		}
		c.ring.Put(RecordObserved{
			Object: object,
		})
		return
	}
	outcome, err := c.store.Put(ctx, rosemarylb.Object{
		Name:    RecordName,
		Version: request.write.Replaces,
		Value:   request.write.Record.Encode(),
	})
	c.ring.Put(writeFinished{
		outcome: outcome,
		failed:  err != nil,
	})
}

// promotionClient sends promotions, one at a time, on a thread that may block.
type promotionClient struct {
	duty.HandlerDefaults

	promoter rosemarylb.Promoter
	clock    rosemarylb.Clock
	ring     *duty.Ring[Event]
}

// Handle implements duty.Handler. It blocks until the promoter answers or the
// promotion's deadline has passed.
func (c promotionClient) Handle(_ time.Time, promotion rosemarylb.Promotion) {
	c.ring.Put(promotionFinished{
		promotion: promotion,
		outcome:   c.promote(promotion),
	})
}

// promote sends a promotion. One that waited behind others until its deadline, or
// during a pause of the process, is not sent.
func (c promotionClient) promote(promotion rosemarylb.Promotion) rosemarylb.PromotionOutcome {
	left := promotion.Deadline.Sub(c.clock.Now())
	if left <= 0 {
		return rosemarylb.PromotionDeferred
	}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	return c.promoter.Promote(ctx, promotion)
}

// recordWatcher watches the record in the store, unless the lease holder reports
// changes to this instance.
type recordWatcher struct {
	store           rosemarylb.Store
	ring            *duty.Ring[Event]
	record          *duty.Latest[keeper.Record]
	clock           rosemarylb.Clock
	witness         *Witness
	storeAnsweredAt *duty.Latest[time.Time]
	notification    *duty.Latest[keeper.Notification]
	version         rosemarylb.Version
	nextAt          time.Time
	failures        int
}

// Handle implements duty.Handler; the watcher receives no events.
func (*recordWatcher) Handle(time.Time, struct{}) {}

// Tick implements duty.Handler. It blocks until the record changes or the watch
// ends.
func (w *recordWatcher) Tick(now time.Time) {
	if w.notification.Load().ReplacesWatch(now) {
		w.nextAt = now.Add(notifiedPollInterval)
		w.ring.Put(holderAnswered{})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), watchTimeout+storeTimeout)
	defer cancel()
	object, err := w.store.Watch(ctx, RecordName, w.version)
	if err != nil {
		w.failures++
		w.nextAt = now.Add(w.retryDelay(now))
		return
	}
	w.failures = 0
	w.nextAt = now
	w.storeAnsweredAt.Store(w.clock.Now())
	if !object.Version.Exists() {
		w.nextAt = now.Add(watchRetryDelay)
	}
	if object.Version == w.version && object.Version.Exists() {
		return
	}
	w.version = object.Version
	if record, err := keeper.ParseRecord(object.Value); err == nil && object.Version.Exists() {
		storeIfLater(w.record, record)
		w.witness.ObserveHolder(record.Token, w.clock.Now())
	}
	w.ring.Put(RecordObserved{
		Object: object,
	})
}

// retryDelay returns the delay after a failed watch. While the holder does not answer,
// this instance may have to take the lease and does not back off.
func (w *recordWatcher) retryDelay(now time.Time) time.Duration {
	if !w.notification.Load().Fresh(now) {
		return watchRetryDelay
	}
	return min(watchRetryDelay<<min(w.failures-1, 4), maxWatchRetryDelay)
}

// storeIfLater stores a record unless it is from before the latest one. The record of a
// restored store may name an earlier holder, while a later one still grants permits.
func storeIfLater(latest *duty.Latest[keeper.Record], record keeper.Record) {
	if record.Follows(latest.Load()) {
		latest.Store(record)
	}
}

// Next implements duty.Handler.
func (w *recordWatcher) Next() time.Time {
	return w.nextAt
}

// Dump implements duty.Handler.
func (w *recordWatcher) Dump() any {
	return w.version
}
