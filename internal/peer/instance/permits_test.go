package instance

import (
	"testing"
	"time"

	"rosemarylb"
	"rosemarylb/internal/failover/keeper"
	"rosemarylb/internal/message/link"

	"google.golang.org/protobuf/proto"
)

// A message of another instance, whatever it holds, does not end the keeper's or
// the asking process.
func FuzzPermitMessages(f *testing.F) {
	request, err := proto.Marshal(&link.PermitRequest{
		From:        "i1",
		StoreMicros: -1,
		Evidence: []*link.Evidence{{
			Group:          "g",
			Primary:        "e1",
			AnsweredMicros: 1 << 62,
			FailingMicros:  -5,
		}},
	})
	if err != nil {
		f.Fatal(err)
	}
	reply, err := proto.Marshal(&link.PermitReply{
		Keeper:       true,
		PeersVersion: 9,
		PeersSince:   8,
		Permits:      []*link.GrantedPermit{{}},
		Endpoints:    []*link.Endpoint{{}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(request)
	f.Add(reply)
	now := time.Unix(1000, 0)
	f.Fuzz(func(_ *testing.T, message []byte) {
		var asked link.PermitRequest
		if proto.Unmarshal(message, &asked) == nil {
			k := keeper.NewKeeper("i0", 1, "a0").WithReport(decodeReport(&asked, now), now)
			k.Decide(now)
		}
		var answered link.PermitReply
		if proto.Unmarshal(message, &answered) == nil {
			decodeGrants(&answered)
			decodeEndpoints(answered.GetEndpoints())
		}
		if record, err := keeper.ParseRecord(message); err == nil {
			keeper.NewKeeper("i0", 1, "a0").WithRecord(record, rosemarylb.Version{
				Revision: 1,
			}, now).Decide(now)
		}
	})
}
