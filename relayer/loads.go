package relayer

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementineramp/appraiser"
	"clementineramp/placer"
	"clementineramp/registrar"
)

const (
	// loadAgeUnit is the resolution of the age of a load. Ages are rounded up, so that a report never becomes younger
	// when it is forwarded.
	loadAgeUnit = 20 * time.Millisecond
	// maxLoad is the largest load that is sent; an upstream with more requests is far over any limit.
	maxLoad = 255
)

// Loads holds load reports in columns: the element i of each list belongs to one upstream.
type Loads struct {
	// Upstreams holds hashes of the IDs.
	Upstreams []uint32
	// Counts holds the numbers of requests.
	Counts []byte
	// Ages holds the ages of the reports in units of 20 ms.
	Ages []byte
}

// hashUpstream returns the hash that stands for an upstream's ID in Loads.
func hashUpstream(id string) uint32 {
	return uint32(xxhash.Sum64String(id))
}

// encodeLoads returns reports in columns. Reports that are too old for the unit of the ages are left out.
func encodeLoads(reports []placer.LoadReport) Loads {
	l := Loads{
		Upstreams: make([]uint32, 0, len(reports)), Counts: make([]byte, 0, len(reports)), Ages: make([]byte, 0, len(reports)),
	}
	for _, report := range reports {
		age := (report.Age + loadAgeUnit - 1) / loadAgeUnit
		if age < 0 || age > 255 {
			continue
		}
		l.Upstreams = append(l.Upstreams, hashUpstream(report.Upstream))
		l.Counts = append(l.Counts, byte(min(max(report.Load, 0), maxLoad)))
		l.Ages = append(l.Ages, byte(age))
	}
	return l
}

// UnreachableReports holds reports on unreachable upstreams in columns, as Loads does.
type UnreachableReports struct {
	Upstreams []uint32
	Ages      []byte
}

// encodeUnreachable returns reports in columns. Those that are too old for the unit of the ages are left out.
func encodeUnreachable(reports []appraiser.Report) UnreachableReports {
	var c UnreachableReports
	for _, r := range reports {
		if age := (r.Age + loadAgeUnit - 1) / loadAgeUnit; age >= 0 && age <= 255 {
			c.Upstreams = append(c.Upstreams, hashUpstream(r.Upstream))
			c.Ages = append(c.Ages, byte(age))
		}
	}
	return c
}

// minReportRenewal is the difference in age from which a report is news to a peer that has an older one.
const minReportRenewal = time.Second

// newerUnreachable returns the reports that a peer lacks, or of which it sent much older ones.
func newerUnreachable(own []appraiser.Report, sent UnreachableReports) []appraiser.Report {
	if len(sent.Ages) != len(sent.Upstreams) {
		return own
	}
	ages := make(map[uint32]time.Duration, len(sent.Upstreams))
	for i, hash := range sent.Upstreams {
		ages[hash] = time.Duration(sent.Ages[i]) * loadAgeUnit
	}
	return slices.DeleteFunc(own, func(r appraiser.Report) bool {
		age, known := ages[hashUpstream(r.Upstream)]
		return known && age < r.Age+minReportRenewal
	})
}

// newerLoads returns the reports that are newer than those that a peer sent, or that the peer lacks.
func newerLoads(own []placer.LoadReport, sent Loads) []placer.LoadReport {
	if len(sent.Ages) != len(sent.Upstreams) {
		return own
	}
	ages := make(map[uint32]time.Duration, len(sent.Upstreams))
	for i, hash := range sent.Upstreams {
		ages[hash] = time.Duration(sent.Ages[i]) * loadAgeUnit
	}
	newer := make([]placer.LoadReport, 0, len(own))
	for _, report := range own {
		if age, ok := ages[hashUpstream(report.Upstream)]; !ok || report.Age+loadAgeUnit < age {
			newer = append(newer, report)
		}
	}
	return newer
}

// upstreamCodec decodes loads and reports on the upstreams in use. It is safe for concurrent use.
type upstreamCodec struct {
	view func() *registrar.View

	mu sync.Mutex
	// ids maps the hashes of the upstreams in indexed to their IDs. Those of two upstreams with the same hash are left out.
	ids map[uint32]string
	// incarnations maps the hashes of their incarnations, in the same way.
	incarnations map[uint32]registrar.Incarnation
	indexed      *registrar.View
}

// decodeLoads returns the reports on upstreams in use; malformed columns give none.
func (c *upstreamCodec) decodeLoads(l Loads) []placer.LoadReport {
	if len(l.Counts) != len(l.Upstreams) || len(l.Ages) != len(l.Upstreams) {
		return nil
	}
	ids := c.index()
	reports := make([]placer.LoadReport, 0, len(l.Upstreams))
	for i, hash := range l.Upstreams {
		if id, ok := ids[hash]; ok {
			reports = append(reports, placer.LoadReport{Upstream: id, Load: int(l.Counts[i]), Age: time.Duration(l.Ages[i]) * loadAgeUnit})
		}
	}
	return reports
}

// decodeUnreachable returns the reports on upstreams in use; malformed columns give none.
func (c *upstreamCodec) decodeUnreachable(m UnreachableReports) []appraiser.Report {
	if len(m.Upstreams) == 0 || len(m.Ages) != len(m.Upstreams) {
		return nil
	}
	ids := c.index()
	var reports []appraiser.Report
	for i, hash := range m.Upstreams {
		if id, ok := ids[hash]; ok {
			reports = append(reports, appraiser.Report{Upstream: id, Age: time.Duration(m.Ages[i]) * loadAgeUnit})
		}
	}
	return reports
}

// index returns the IDs of the upstreams in use by their hashes.
func (c *upstreamCodec) index() map[uint32]string {
	v := c.view()
	c.mu.Lock()
	defer c.mu.Unlock()
	if v == c.indexed {
		return c.ids
	}
	c.ids, c.incarnations, c.indexed = make(map[uint32]string), make(map[uint32]registrar.Incarnation), v
	ambiguous := make(map[uint32]bool)
	ambiguousIncarnations := make(map[uint32]bool)
	for _, list := range v.ByService {
		for _, u := range list {
			incarnation := hashIncarnation(u.Incarnation())
			if _, taken := c.incarnations[incarnation]; taken {
				ambiguousIncarnations[incarnation] = true
			}
			c.incarnations[incarnation] = u.Incarnation()
			hash := hashUpstream(u.ID)
			if _, taken := c.ids[hash]; taken {
				ambiguous[hash] = true
			}
			c.ids[hash] = u.ID
		}
	}
	for hash := range ambiguous {
		delete(c.ids, hash)
	}
	for hash := range ambiguousIncarnations {
		delete(c.incarnations, hash)
	}
	return c.ids
}

// hotChatAgeUnit is the resolution of the age of a report on a hot chat.
const hotChatAgeUnit = 50 * time.Millisecond

// HotChats holds reports on hot chats in columns, as Loads does.
type HotChats struct {
	// Chats holds hashes of the names.
	Chats []uint32
	// Ages holds the ages of the reports in units of 50 ms.
	Ages []byte
}

// encodeHotChats returns reports in columns. Those that are too old for the unit of the ages are left out.
func encodeHotChats(chats []placer.HotChat) HotChats {
	var h HotChats
	for _, c := range chats {
		if age := (c.Age + hotChatAgeUnit - 1) / hotChatAgeUnit; age >= 0 && age <= 255 {
			h.Chats = append(h.Chats, c.Chat)
			h.Ages = append(h.Ages, byte(age))
		}
	}
	return h
}

// decode returns the reports; malformed columns give none.
func (h HotChats) decode() []placer.HotChat {
	if len(h.Chats) != len(h.Ages) {
		return nil
	}
	chats := make([]placer.HotChat, len(h.Chats))
	for i, c := range h.Chats {
		chats[i] = placer.HotChat{Chat: c, Age: time.Duration(h.Ages[i]) * hotChatAgeUnit}
	}
	return chats
}

// newerHotChats returns the reports that a peer lacks, or of which it sent much older ones.
func newerHotChats(own []placer.HotChat, sent HotChats) []placer.HotChat {
	ages := make(map[uint32]time.Duration, len(sent.Chats))
	for _, c := range sent.decode() {
		ages[c.Chat] = c.Age
	}
	return slices.DeleteFunc(own, func(c placer.HotChat) bool {
		age, known := ages[c.Chat]
		return known && age < c.Age+minReportRenewal
	})
}
