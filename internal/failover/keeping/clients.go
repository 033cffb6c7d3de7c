package keeping

import (
	"context"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/process/duty"
)

const (
	// RecordName is the name of the keeper's record in the store.
	RecordName = "keeper"
	// storeTimeout bounds one call to the store.
	storeTimeout = 1500 * time.Millisecond
	// watchSpan is how long one watch of the record waits.
	watchSpan = 4 * time.Second
	// toldPause is the time between two looks whether the holder still tells.
	toldPause = 100 * time.Millisecond
	// watchPause is the wait after a watch that failed.
	watchPause = 250 * time.Millisecond
)

// task is a call to the store: a write, or a read when it holds none.
type task struct {
	write *keeper.Write
}

// recordClient writes and reads the record, one call at a time.
type recordClient struct {
	duty.Passive

	store rosemarylb.Store
	ring  *duty.Ring[Event]
}

// Handle implements duty.Handler; its thread waits for the store.
func (s recordClient) Handle(_ time.Time, t task) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if t.write == nil {
		o, err := s.store.Get(ctx, RecordName)
		if err != nil {
			s.ring.Put(unread{})
			return
		}
		s.ring.Put(Observed{
			Object: o,
		})
		return
	}
	outcome, err := s.store.Put(ctx, rosemarylb.Object{
		Name:    RecordName,
		Version: t.write.Revision,
		Value:   t.write.Record.Encode(),
	})
	s.ring.Put(written{
		outcome: outcome,
		failed:  err != nil,
	})
}

// promotionClient carries orders to promote, one at a time.
type promotionClient struct {
	duty.Passive

	promoter rosemarylb.Promoter
	ring     *duty.Ring[Event]
}

// Handle implements duty.Handler; its thread waits for the promoter.
func (h promotionClient) Handle(_ time.Time, p rosemarylb.Promotion) {
	ctx, cancel := context.WithTimeout(context.Background(), keeper.PromotionTimeout)
	defer cancel()
	h.ring.Put(promoted{
		promotion: p,
		outcome:   h.promoter.Promote(ctx, p),
	})
}

// watcher follows the record.
type watcher struct {
	store   rosemarylb.Store
	ring    *duty.Ring[Event]
	latest  *duty.Latest[keeper.Record]
	clock   rosemarylb.Clock
	witness *Witness
	heard   *duty.Latest[time.Time]
	tells   *duty.Latest[keeper.Notification]
	version uint64
	at      time.Time
}

// Handle implements duty.Handler; the watcher takes no events.
func (*watcher) Handle(time.Time, struct{}) {}

// Tick implements duty.Handler; its thread waits for the store.
func (w *watcher) Tick(now time.Time) {
	if w.tells.Load().ReplacesWatch(now) {
		w.at = now.Add(toldPause)
		w.ring.Put(told{})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), watchSpan+storeTimeout)
	defer cancel()
	o, err := w.store.Watch(ctx, RecordName, w.version)
	if err != nil {
		w.at = now.Add(watchPause)
		return
	}
	w.at = now
	w.heard.Store(w.clock.Now())
	if o.Version == 0 {
		w.at = now.Add(watchPause)
	}
	if o.Version == w.version && o.Version != 0 {
		return
	}
	w.version = o.Version
	if r, err := keeper.ParseRecord(o.Value); err == nil && o.Version != 0 {
		w.latest.Store(r)
		w.witness.Learned(r.Token, w.clock.Now())
	}
	w.ring.Put(Observed{
		Object: o,
	})
}

// Next implements duty.Handler.
func (w *watcher) Next() time.Time {
	return w.at
}

// Dump implements duty.Handler.
func (w *watcher) Dump() any {
	return w.version
}
