package gossip

import (
	"context"
	"encoding/binary"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"wasabidock.dev/dock/fail"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
	"wasabidock.dev/dock/permit"
	"wasabidock.dev/dock/route"
	"wasabidock.dev/dock/tick"
)

const (
	// homeTimeout is how long an instance counts as home without having been heard, or homePeriods
	// of the reports of all instances if that is longer.
	homeTimeout = 1500 * time.Millisecond
	homePeriods = 4
	// claimTimeout bounds a claim within the region, and remoteClaimTimeout one in another region.
	claimTimeout       = 150 * time.Millisecond
	remoteClaimTimeout = 350 * time.Millisecond
)

// errNotHome is returned to an instance that takes another instance for the home of a server.
var errNotHome = errors.New("this instance does not issue permits for the server")

// home is the instance that issues the permits of a server.
type home struct {
	instance string
	self     bool
	share    float64 // fraction of the limit that the home issues
	// reached is the fraction of the instances of the data centre that report to this one. Of a limit
	// that holds while a server warms up, the home issues only this part, so that the sides of a partition
	// within the data centre do not exceed it together. If it is below permit.MinWarmupPart, the home issues none.
	reached float64
}

// isSteady reports whether this instance may issue permits.
func (s *Service) isSteady() bool {
	return s.pauses.steady(s.cfg.SinceBoot()) && !s.leaving.Load()
}

// homeOf returns the home of a server in a data centre: the instance of that data centre with the
// highest rank among those that are steady. If the data centre has no instance, all are considered.
func (s *Service) homeOf(server uint64, centre string) (home, bool) {
	now := s.cfg.Clock.Now()
	timeout := max(homeTimeout, homePeriods*time.Duration(s.members.count())*loadPeriodPerPeer)
	local := centre == s.cfg.Self.Centre || s.members.inCentre(centre)
	best := home{share: 1}
	if !local {
		best.share = permit.FallbackShare
	}
	known, heard := s.members.countIn(centre)+1, 1
	var top uint64
	if s.isSteady() && (!local || centre == s.cfg.Self.Centre) {
		top, best.instance, best.self = rank(route.Hash(s.cfg.Self.Instance), server), s.cfg.Self.Instance, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, l := range s.loads {
		if local && l.centre != centre || l.leaving || now-l.at > timeout {
			continue
		}
		heard++
		if !l.steady {
			continue
		}
		if r := rank(l.nameHash, server); best.instance == "" || r > top {
			top, best.instance, best.self = r, name, false
		}
	}
	best.reached = best.share
	if local {
		best.reached = min(float64(heard)/float64(known), 1)
	}
	return best, best.instance != ""
}

// rank returns the rank of an instance as the home of a server.
func rank(instance, server uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], instance)
	binary.BigEndian.PutUint64(b[8:], server)
	return xxhash.Sum64(b[:])
}

// Claim implements permit.Claimer. It calls the home of the server, unless that is this instance.
func (s *Service) Claim(ctx context.Context, c permit.Claim, now tick.Instant) (permit.Answer, error) {
	h, ok := s.homeOf(c.Server, c.Centre)
	if !ok {
		return permit.Answer{}, permit.ErrNoHome
	}
	if h.self {
		return s.decide(c, h, now)
	}
	m, ok := s.members.get(h.instance)
	if !ok {
		return permit.Answer{}, permit.ErrNoHome
	}
	var resp *peerpb.PermitResponse
	err := s.claimAt(ctx, m, "news: permit", func(ctx context.Context, client peerpbconnect.NewsServiceClient) (err error) {
		resp, err = client.Permit(ctx, &peerpb.PermitRequest{
			Limit: encodeLimit(c.Report, now), Centre: c.Centre, Priority: int32(c.Priority), Customer: c.Customer,
			Weight: c.Weight, Rejected: int32(c.Rejected), WarmupRate: c.WarmupRate, WarmupLeftUs: c.WarmupLeft.Microseconds(),
			Unnamed: !c.Limited,
		})
		return err
	})
	if err != nil {
		return permit.Answer{}, err
	}
	return permit.Answer{
		Granted: resp.GetGranted(), Wait: fromMicros(resp.GetWaitUs()), RetryAfter: fromMicros(resp.GetRetryAfterUs()),
		Issuer: resp.GetIssuer(),
	}, nil
}

// claimAt has a claim made by call with a client of the home and a limited time.
func (s *Service) claimAt(ctx context.Context, home Member, step string, call func(context.Context, peerpbconnect.NewsServiceClient) error) error {
	timeout := claimTimeout
	if home.Region != s.cfg.Self.Region {
		timeout = remoteClaimTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client, err := s.pool.News(ident.Instance(home.Address))
	if err == nil {
		err = call(ctx, client)
	}
	if err != nil {
		return fail.New(step, home.Instance, ident.NotRun, err)
	}
	return nil
}

// decide answers a claim for a server of which this instance is the home h.
func (s *Service) decide(c permit.Claim, h home, now tick.Instant) (permit.Answer, error) {
	if c.WarmupRate > 0 && h.reached < permit.MinWarmupPart {
		return permit.Answer{}, errNotHome
	}
	c.WarmupRate *= h.reached
	return s.cfg.Issuer.Decide(c, h.share, now), nil
}

// Permit implements peerpbconnect.NewsServiceHandler. It decides a claim of a peer.
func (s *Service) Permit(_ context.Context, r *peerpb.PermitRequest) (*peerpb.PermitResponse, error) {
	h, ok := s.homeOf(r.GetLimit().GetServer(), r.GetCentre())
	if !ok || !h.self {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNotHome)
	}
	now := s.cfg.SinceBoot()
	limit := decodeLimit(r.GetLimit(), now)
	limit.Limited = !r.GetUnnamed()
	a, err := s.decide(permit.Claim{
		Report: limit, Centre: r.GetCentre(), Priority: int(r.GetPriority()), Customer: r.GetCustomer(),
		Weight: r.GetWeight(), Rejected: int(max(r.GetRejected(), 0)), WarmupRate: decodeRate(r.GetWarmupRate()),
		WarmupLeft: fromMicros(r.GetWarmupLeftUs()),
	}, h, now)
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return &peerpb.PermitResponse{
		Granted: a.Granted, WaitUs: a.Wait.Microseconds(), RetryAfterUs: a.RetryAfter.Microseconds(), Issuer: a.Issuer,
	}, nil
}

// encodeLimits returns the limits that servers named to this instance, without their ages.
func (s *Service) encodeLimits() []*peerpb.ServerLimit {
	var list []*peerpb.ServerLimit
	for _, r := range s.cfg.Limits.Reports() {
		list = append(list, &peerpb.ServerLimit{Server: r.Server, Rate: r.Rate})
	}
	return list
}

// setLimitAges replaces the limits of a state by the current ones with their ages.
func (s *Service) setLimitAges(l *peerpb.Load) {
	if len(l.Limits) == 0 {
		return
	}
	l.Limits = l.Limits[:0]
	now := s.cfg.SinceBoot()
	for _, r := range s.cfg.Limits.Reports() {
		l.Limits = append(l.Limits, encodeLimit(r, now))
	}
}

// recordLimits records the limits that a peer reports.
func (s *Service) recordLimits(l *peerpb.Load) {
	if len(l.GetLimits()) == 0 {
		return
	}
	now := s.cfg.SinceBoot()
	for _, w := range l.GetLimits() {
		s.cfg.Limits.RecordPeer(decodeLimit(w, now))
	}
}

// encodeLimit returns a report in the form sent to peers.
func encodeLimit(r permit.Report, now tick.Instant) *peerpb.ServerLimit {
	return &peerpb.ServerLimit{
		Server: r.Server, Rate: r.Rate, SentAgeUs: (now - r.Sent).Microseconds(), ReceivedAgeUs: (now - r.Received).Microseconds(),
	}
}

// decodeLimit returns the report of a peer that was received at now. A rate or an age that is
// invalid counts as 0.
func decodeLimit(w *peerpb.ServerLimit, now tick.Instant) permit.Report {
	rate := decodeRate(w.GetRate())
	received := now - fromMicros(w.GetReceivedAgeUs())
	return permit.Report{Server: w.GetServer(), Statement: permit.Statement{
		Rate: rate, Limited: true, Sent: min(now-fromMicros(w.GetSentAgeUs()), received), Received: received,
	}}
}

// decodeRate returns a rate that a peer sent. An invalid one counts as 0.
func decodeRate(rate float64) float64 {
	if !(rate >= 0 && rate <= maxReportedRate) {
		return 0
	}
	return rate
}

// maxReportedRate bounds the limit that a peer reports, in requests per second.
const maxReportedRate = 1e6

// fromMicros returns a duration that a peer sent. A negative one counts as 0, and one over a day as
// a day.
func fromMicros(us int64) time.Duration {
	return time.Duration(min(max(us, 0), (24*time.Hour).Microseconds())) * time.Microsecond
}
