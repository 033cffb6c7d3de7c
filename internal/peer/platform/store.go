// Package platform is the client of the platform's service, which stores
// versioned objects and lists the instances. It publishes configurations there
// and watches them.
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
	// callTimeout bounds one call other than a watch.
	callTimeout = 2 * time.Second
	// responseSizeLimit is how much of a response is read, in bytes.
	responseSizeLimit = 4 << 20
	// objectsPath and instancesPath are the paths of the platform's resources.
	objectsPath   = "/api/v1/objects/"
	instancesPath = "/api/v1/instances"
)

// ErrUnavailable reports a call without a usable response. A write may have taken
// effect nevertheless.
var ErrUnavailable = errors.New("the platform's service is unavailable")

var callsTotal = metrics.NewCounter(`rosemarylb_platform_calls_total`)

// objectBody is the JSON encoding of an object.
type objectBody struct {
	Metadata metadataBody `json:"metadata"`
	Data     []byte       `json:"data"`
}

type metadataBody struct {
	Name            string `json:"name"`
	ResourceVersion string `json:"resourceVersion"`
}

// instanceBody is the JSON encoding of a listed instance.
type instanceBody struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	Leaving bool   `json:"leaving"`
}

type instanceListBody struct {
	Items []instanceBody `json:"items"`
}

// HTTPStore accesses the platform's service over HTTP and JSON.
type HTTPStore struct {
	base   string
	client *http.Client
}

// NewHTTPStore returns a store for a base address such as http://10.0.0.1:8080.
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
	requestBody, err := json.Marshal(objectBody{
		Metadata: metadataBody{
			Name:            o.Name,
			ResourceVersion: strconv.FormatUint(o.Version.Revision, 10),
		},
		Data: o.Value,
	})
	if err != nil {
		return rosemarylb.PutOutcome{}, errors.Wrap(err, "encode object")
	}
	status, body, err := s.call(ctx, http.MethodPut, objectsPath+o.Name, requestBody)
	if err != nil {
		return rosemarylb.PutOutcome{}, err
	}
	if status == http.StatusConflict {
		current, err := s.Get(ctx, o.Name)
		return rosemarylb.PutOutcome{
			Object: current,
		}, err
	}
	written, err := decodeObject(o.Name, status, body)
	return rosemarylb.PutOutcome{
		Written: err == nil,
		Object:  written,
	}, err
}

// Watch implements rosemarylb.Store. The deadline of ctx becomes the platform's
// own time-out of the watch, after which it returns the current object.
func (s *HTTPStore) Watch(ctx context.Context, name string, version rosemarylb.Version) (rosemarylb.Object, error) {
	path := fmt.Sprintf("%s%s?watch=1&resourceVersion=%d", objectsPath, name, version.Revision)
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
		return nil, errors.Wrapf(ErrUnavailable, "list instances: HTTP status %d", status)
	}
	var list instanceListBody
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, errors.Wrap(err, "decode list of instances")
	}
	members := make([]rosemarylb.Member, 0, len(list.Items))
	for _, instance := range list.Items {
		members = append(members, instance.member())
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

// call sends a request and returns the status and the body of the response.
func (s *HTTPStore) call(ctx context.Context, method, path string, requestBody []byte) (int, []byte, error) {
	callsTotal.Inc()
	r, err := http.NewRequestWithContext(ctx, method, s.base+path, bytes.NewReader(requestBody))
	if err != nil {
		return 0, nil, errors.Wrap(err, "create request to the platform")
	}
	response, err := s.client.Do(r)
	if err != nil {
		return 0, nil, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	defer func() {
		_ = response.Body.Close()
	}()
	body, err := io.ReadAll(io.LimitReader(response.Body, responseSizeLimit))
	if err != nil {
		return 0, nil, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	return response.StatusCode, body, nil
}

// decodeObject returns the object in a response, one of version 0 if the platform
// does not have it.
func decodeObject(name string, status int, body []byte) (rosemarylb.Object, error) {
	if status == http.StatusNotFound {
		return rosemarylb.Object{
			Name: name,
		}, nil
	}
	if status != http.StatusOK {
		return rosemarylb.Object{}, errors.Wrapf(ErrUnavailable, "HTTP status %d", status)
	}
	var o objectBody
	if err := json.Unmarshal(body, &o); err != nil {
		return rosemarylb.Object{}, errors.Wrap(err, "object")
	}
	revision, err := strconv.ParseUint(o.Metadata.ResourceVersion, 10, 64)
	if err != nil {
		return rosemarylb.Object{}, errors.Wrap(err, "parse object version")
	}
	return rosemarylb.Object{
		Name: name,
		Version: rosemarylb.Version{
			Revision: revision,
		},
		Value: o.Data,
	}, nil
}
