package platform

import (
	"bytes"
	"context"
	"encoding/json"

	"rosemarylb"

	"github.com/cockroachdb/errors"
)

// ConfigurationName is the name of the object that holds the configuration.
const ConfigurationName = "configuration"

// Publication is a published configuration, as the object stores it.
type Publication struct {
	// Revision is the number of the publication, one more than that of the
	// publication before.
	Revision uint64 `json:"revision"`
	// Author is the operator who published it.
	Author string `json:"author"`
	// Document is the rendered text of the configuration.
	Document []byte `json:"document"`
}

// DecodePublication returns the publication in an object, or the zero Publication
// if the object does not exist.
func DecodePublication(o rosemarylb.Object) (Publication, error) {
	if !o.Version.Exists() {
		return Publication{}, nil
	}
	var p Publication
	err := json.Unmarshal(o.Value, &p)
	return p, errors.Wrap(err, "publication")
}

// PublishOutcome is the outcome of Publish.
type PublishOutcome struct {
	// Published is true when the document is published, by this call or before.
	Published bool
	// Unchanged is true when it was published before, so that nothing was
	// written.
	Unchanged bool
	// Current is the current publication, which is another operator's when
	// Published is false.
	Current Publication
}

// Publish writes a document as the next revision after base, the object as the
// operator read it. If the object has changed since, Publish writes nothing and
// returns the current publication. After a write without a response it reads
// the object to find out whether the write took effect; if that fails too, it
// returns an error and the outcome is unknown.
func Publish(
	ctx context.Context, store rosemarylb.Store, base rosemarylb.Object, author string, document []byte,
) (PublishOutcome, error) {
	current, err := DecodePublication(base)
	if err != nil {
		return PublishOutcome{}, err
	}
	if bytes.Equal(current.Document, document) {
		return PublishOutcome{
			Published: true,
			Unchanged: true,
			Current:   current,
		}, nil
	}
	publication := Publication{
		Revision: current.Revision + 1,
		Author:   author,
		Document: document,
	}
	value, err := json.Marshal(publication)
	if err != nil {
		return PublishOutcome{}, errors.Wrap(err, "publication")
	}
	put, err := store.Put(ctx, rosemarylb.Object{
		Name:    base.Name,
		Version: base.Version,
		Value:   value,
	})
	if errors.Is(err, ErrUnavailable) {
		return readAfterLostReply(ctx, store, publication, value)
	}
	if err != nil {
		return PublishOutcome{}, err
	}
	if put.Written {
		return PublishOutcome{
			Published: true,
			Current:   publication,
		}, nil
	}
	return outcomeFromObject(put.Object, value)
}

// readAfterLostReply returns the outcome of a write whose response was lost.
func readAfterLostReply(
	ctx context.Context, store rosemarylb.Store, publication Publication, value []byte,
) (PublishOutcome, error) {
	o, err := store.Get(ctx, ConfigurationName)
	if err != nil {
		return PublishOutcome{}, errors.Wrapf(err, "outcome of publishing revision %d is unknown", publication.Revision)
	}
	return outcomeFromObject(o, value)
}

// outcomeFromObject returns the outcome of publishing a value, given the object as
// it is now.
func outcomeFromObject(o rosemarylb.Object, value []byte) (PublishOutcome, error) {
	current, err := DecodePublication(o)
	if err != nil {
		return PublishOutcome{}, err
	}
	return PublishOutcome{
		Published: bytes.Equal(o.Value, value),
		Current:   current,
	}, nil
}
