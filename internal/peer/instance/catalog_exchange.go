package instance

import (
	"time"

	"rosemarylb"
	"rosemarylb/internal/message/link"
	"rosemarylb/internal/process/duty"
)

// catalogExchange is the state of the exchange of the configuration with the keeper.
type catalogExchange struct {
	current   *duty.Latest[rosemarylb.Catalog]
	onCatalog func(rosemarylb.Catalog)
	encoder   catalogEncoder
	// token identifies the holder that announced the version heldVersion.
	token       uint64
	heldVersion uint64
	// sentVersion was sent to that holder, and is not sent again before resendAt.
	sentVersion uint64
	resendAt    time.Time
}

// receive applies the part of a holder's reply that is about the configuration. It
// returns an error marked as errInvalidCatalog if that cannot be decoded.
func (e *catalogExchange) receive(reply *link.PermitReply, token uint64) error {
	if token != e.token {
		e.token = token
		e.sentVersion = 0
	}
	e.heldVersion = reply.GetCatalogHeld()
	if len(reply.GetCatalog()) == 0 {
		return nil
	}
	catalog, err := decodeCatalog(reply.GetCatalog())
	if err != nil {
		return err
	}
	e.onCatalog(catalog)
	return nil
}

// contentFor returns the encoded configuration to send to the holder of a token, nil
// unless that holder has announced an older version.
func (e *catalogExchange) contentFor(token uint64, now time.Time) []byte {
	current := e.current.Load()
	if token != e.token || current.Version <= e.heldVersion {
		return nil
	}
	if current.Version == e.sentVersion && now.Before(e.resendAt) {
		return nil
	}
	e.sentVersion = current.Version
	e.resendAt = now.Add(catalogResendInterval)
	return e.encoder.encode(current)
}
