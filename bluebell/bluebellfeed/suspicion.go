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
			m.AliveMillis = append(m.AliveMillis, encodeKnown(c.AliveAt, now))
		}
		m.ServedMillis = encodeKnown(s.ServedAt, now)
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
			c := bluebellquarantine.Crash{Endpoint: endpoint, At: now - time.Duration(m.CrashedMillis[i])*time.Millisecond}
			if i < len(m.AliveMillis) {
				c.AliveAt = decodeKnown(m.AliveMillis[i], now)
			}
			s.Crashes = append(s.Crashes, c)
		}
		s.ServedAt = decodeKnown(m.ServedMillis, now)
		suspects = append(suspects, s)
	}
	return suspects
}

func millisSince(at, now time.Duration) uint32 { return uint32(max(now-at, 0).Milliseconds()) }

// encodeKnown encodes a time that may be unknown: the milliseconds since, plus 1, or 0.
func encodeKnown(at, now time.Duration) uint32 {
	if at == 0 {
		return 0
	}
	return millisSince(at, now) + 1
}

// decodeKnown is the opposite of encodeKnown. Times from before the start of this process are negative.
func decodeKnown(millis uint32, now time.Duration) time.Duration {
	if millis == 0 {
		return 0
	}
	if at := now - time.Duration(millis-1)*time.Millisecond; at != 0 {
		return at
	}
	return -1
}
