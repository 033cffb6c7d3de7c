// Package platform talks to the platform's service: its objects with
// versions, and its list of instances.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"rosemarylb"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

const (
	// callTimeout bounds one call that does not wait.
	callTimeout = 2 * time.Second
	// bodyLimit is the size of the largest answer read, in bytes.
	bodyLimit = 4 << 20
	// objectsPath and instancesPath are the platform's resources.
	objectsPath   = "/api/v1/objects/"
	instancesPath = "/api/v1/instances"
)

// ErrUnavailable reports a call without an answer. A write may have taken
// effect all the same.
var ErrUnavailable = errors.New("the platform's service gave no answer")

var callsTotal = metrics.NewCounter(`rosemarylb_platform_calls_total`)

// objectBody is an object as the platform encodes it.
type objectBody struct {
	Metadata metadataBody `json:"metadata"`
	Data     []byte       `json:"data"`
}

type metadataBody struct {
	Name            string `json:"name"`
	ResourceVersion string `json:"resourceVersion"`
}

// instanceBody is an instance as the platform lists it.
type instanceBody struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	Leaving bool   `json:"leaving"`
}

type instancesBody struct {
	Items []instanceBody `json:"items"`
}

// HTTPStore is the platform's service over HTTP and JSON.
type HTTPStore struct {
	base   string
	client *http.Client
}

// NewHTTPStore returns a store at a base address such as http://10.0.0.1:8080.
func NewHTTPStore(base string) rosemarylb.Store {
	return &HTTPStore{
		base:   base,
		client: &http.Client{},
	}
}

// Get implements rosemarylb.Store.
func (s *HTTPStore) Get(ctx context.Context, name string) (rosemarylb.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, body, err := s.call(ctx, http.MethodGet, objectsPath+name, nil)
	if err != nil {
		return rosemarylb.Object{}, err
	}
	return decodeObject(name, status, body)
}

// Put implements rosemarylb.Store.
func (s *HTTPStore) Put(ctx context.Context, o rosemarylb.Object) (rosemarylb.PutOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	text, err := json.Marshal(objectBody{
		Metadata: metadataBody{
			Name:            o.Name,
			ResourceVersion: strconv.FormatUint(o.Version, 10),
		},
		Data: o.Value,
	})
	if err != nil {
		return rosemarylb.PutOutcome{}, errors.Wrap(err, "encode the object")
	}
	status, body, err := s.call(ctx, http.MethodPut, objectsPath+o.Name, text)
	if err != nil {
		return rosemarylb.PutOutcome{}, err
	}
	if status == http.StatusConflict {
		standing, err := s.Get(ctx, o.Name)
		return rosemarylb.PutOutcome{
			Object: standing,
		}, err
	}
	written, err := decodeObject(o.Name, status, body)
	return rosemarylb.PutOutcome{
		Written: err == nil,
		Object:  written,
	}, err
}

// Watch implements rosemarylb.Store. The platform answers at its own time-out
// with the object as it stands.
func (s *HTTPStore) Watch(ctx context.Context, name string, version uint64) (rosemarylb.Object, error) {
	path := fmt.Sprintf("%s%s?watch=1&resourceVersion=%d", objectsPath, name, version)
	if deadline, bounded := ctx.Deadline(); bounded {
		path += fmt.Sprintf("&timeoutMillis=%d", time.Until(deadline).Milliseconds())
	}
	status, body, err := s.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return rosemarylb.Object{}, err
	}
	return decodeObject(name, status, body)
}

// Instances implements rosemarylb.Store.
func (s *HTTPStore) Instances(ctx context.Context) ([]rosemarylb.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, body, err := s.call(ctx, http.MethodGet, instancesPath, nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "status %d", status)
	}
	var listed instancesBody
	if err := json.Unmarshal(body, &listed); err != nil {
		return nil, errors.Wrap(err, "list of instances")
	}
	members := make([]rosemarylb.Member, 0, len(listed.Items))
	for _, i := range listed.Items {
		members = append(members, i.member())
	}
	return members, nil
}

func (i instanceBody) member() rosemarylb.Member {
	m := rosemarylb.Member{
		ID:      rosemarylb.InstanceID(i.Name),
		Address: i.Address,
		Domain:  rosemarylb.DomainName(i.Domain),
		Region:  rosemarylb.RegionName(i.Region),
	}
	if i.Leaving {
		m.Status = rosemarylb.MemberLeaving
	}
	return m
}

func (s *HTTPStore) call(ctx context.Context, method, path string, text []byte) (int, []byte, error) {
	callsTotal.Inc()
	r, err := http.NewRequestWithContext(ctx, method, s.base+path, bytes.NewReader(text))
	if err != nil {
		return 0, nil, errors.Wrap(err, "platform call")
	}
	answer, err := s.client.Do(r)
	if err != nil {
		return 0, nil, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	defer func() {
		_ = answer.Body.Close()
	}()
	body, err := io.ReadAll(io.LimitReader(answer.Body, bodyLimit))
	if err != nil {
		return 0, nil, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	return answer.StatusCode, body, nil
}

func decodeObject(name string, status int, body []byte) (rosemarylb.Object, error) {
	if status == http.StatusNotFound {
		return rosemarylb.Object{
			Name: name,
		}, nil
	}
	if status != http.StatusOK {
		return rosemarylb.Object{}, errors.Wrapf(ErrUnavailable, "status %d", status)
	}
	var o objectBody
	if err := json.Unmarshal(body, &o); err != nil {
		return rosemarylb.Object{}, errors.Wrap(err, "object")
	}
	version, err := strconv.ParseUint(o.Metadata.ResourceVersion, 10, 64)
	if err != nil {
		return rosemarylb.Object{}, errors.Wrap(err, "object version")
	}
	return rosemarylb.Object{
		Name:    name,
		Version: version,
		Value:   o.Data,
	}, nil
}
