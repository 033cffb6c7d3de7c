package proxy

import "time"

// QuotaEvent is an event of the quotas of teams.
type QuotaEvent interface {
	Event
	quotaEvent()
}

func (KeeperChanged) proxyEvent()   {}
func (QuotaReplied) proxyEvent()    {}
func (DeputyReplied) proxyEvent()   {}
func (DeputyRequested) proxyEvent() {}

func (KeeperChanged) quotaEvent()   {}
func (QuotaReplied) quotaEvent()    {}
func (DeputyReplied) quotaEvent()   {}
func (DeputyRequested) quotaEvent() {}

func (p *Proxy) handleQuotaEvent(event QuotaEvent, now time.Time) {
	switch e := event.(type) {
	case KeeperChanged:
		p.quotas.allowance = p.quotas.allowance.WithKeeperChanged()
	case DeputyReplied:
		p.applyDeputyReply(e, now)
	case DeputyRequested:
		p.answerDeputyRequest(e, now)
	case QuotaReplied:
		p.applyQuotaReply(e, now)
	}
}
