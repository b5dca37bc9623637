package bluebellfeed

import (
	"time"

	pb "bluebellhaven.org/bluebell/bluebellpb"
	"bluebellhaven.org/bluebell/bluebellquarantine"
)

// Suspicions carry ages instead of times, since the clocks of processes differ.

// encodeSuspicions encodes suspects at the time now.
func encodeSuspicions(suspects []bluebellquarantine.Suspect, now time.Duration) []*pb.Suspicion {
	list := make([]*pb.Suspicion, 0, len(suspects))
	for _, s := range suspects {
		m := &pb.Suspicion{Key: uint64(s.Key), Depth: uint32(s.Depth)}
		for _, c := range s.Crashes {
			m.Endpoints, m.CrashedMillis = append(m.Endpoints, c.Endpoint), append(m.CrashedMillis, millisSince(c.At, now))
		}
		if s.ServedAt != 0 {
			m.ServedMillis = millisSince(s.ServedAt, now) + 1
		}
		list = append(list, m)
	}
	return list
}

// decodeSuspicions decodes suspicions that were received at the time now. It ignores crashes that
// are incomplete.
func decodeSuspicions(list []*pb.Suspicion, now time.Duration) []bluebellquarantine.Suspect {
	suspects := make([]bluebellquarantine.Suspect, 0, len(list))
	for _, m := range list {
		s := bluebellquarantine.Suspect{Subject: bluebellquarantine.Subject{Key: bluebellquarantine.Key(m.Key), Depth: int(m.Depth)}}
		for i, endpoint := range m.Endpoints[:min(len(m.Endpoints), len(m.CrashedMillis))] {
			s.Crashes = append(s.Crashes, bluebellquarantine.Crash{Endpoint: endpoint, At: now - time.Duration(m.CrashedMillis[i])*time.Millisecond})
		}
		if m.ServedMillis > 0 {
			if s.ServedAt = now - time.Duration(m.ServedMillis-1)*time.Millisecond; s.ServedAt == 0 {
				s.ServedAt = -1
			}
		}
		suspects = append(suspects, s)
	}
	return suspects
}

func millisSince(at, now time.Duration) uint32 { return uint32(max(now-at, 0).Milliseconds()) }
