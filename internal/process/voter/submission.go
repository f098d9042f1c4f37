package voter

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
	"github.com/banyanscale/banyanscale/internal/wire/voterwire"
)

// Bounds of a submission, in bytes.
const (
	maxNameBytes     = 128
	maxMessageBytes  = 1024
	maxDocumentBytes = 4 << 20
)

// submission decides what one request means on a given state.
type submission struct {
	req    *controlwire.SubmitRequest
	digest []byte
	// identities holds the identities of instances that are to become voters, by address.
	identities map[string]string

	// The outcome on the state that was looked at last.
	answer     *controlwire.SubmitResponse
	err        error
	unresolved []string // Addresses whose identities are missing.
	replacing  bool     // True if voters are being replaced already.
}

// newSubmission checks the request as far as that needs no state.
func newSubmission(req *controlwire.SubmitRequest, digest Digester) (*submission, error) {
	if err := checkRequest(req); err != nil {
		return nil, err
	}
	return &submission{req: req, digest: digest(req.GetDocument()), identities: make(map[string]string)}, nil
}

func checkRequest(req *controlwire.SubmitRequest) error {
	switch {
	case req.GetChangeId() == "":
		return fmt.Errorf("%w: no change id", ErrInvalid)
	case len(req.GetChangeId()) > maxNameBytes || len(req.GetOperator()) > maxNameBytes:
		return fmt.Errorf("%w: change id or operator longer than %d bytes", ErrInvalid, maxNameBytes)
	case len(req.GetMessage()) > maxMessageBytes:
		return fmt.Errorf("%w: message longer than %d bytes", ErrInvalid, maxMessageBytes)
	case proto.Size(req.GetDocument()) > maxDocumentBytes:
		return fmt.Errorf("%w: document larger than %d bytes", ErrInvalid, maxDocumentBytes)
	}
	if e := compiler.Doubled(req.GetDocument()); e != nil {
		return fmt.Errorf("%w: two entries for [%s] %s in layer %q", ErrInvalid, e.GetSection(), e.GetKey(), e.GetLayer())
	}
	return nil
}

// next implements step.
func (s *submission) next(base *State) *voterwire.Transition {
	s.answer, s.err, s.unresolved, s.replacing = nil, nil, nil, false
	if earlier := base.changeNamed(s.req.GetChangeId()); earlier != nil {
		s.repeat(earlier)
		return nil
	}
	switch {
	case s.req.GetReplaces() > base.number():
		s.err = fmt.Errorf("%w: it replaces version %d, the newest is %d", ErrInvalid, s.req.GetReplaces(), base.number())
		return nil
	case s.req.GetReplaces() < base.number():
		s.conflict(base)
		return nil
	case s.req.GetVersion() != 0 && s.req.GetVersion() <= base.number():
		s.err = fmt.Errorf("%w: its number %d is not above that of version %d", ErrInvalid, s.req.GetVersion(), base.number())
		return nil
	default:
		return s.transition(base)
	}
}

// repeat gives an accepted change its first answer again.
func (s *submission) repeat(earlier *controlwire.HistoryEntry) {
	if replacedBy(earlier) != s.req.GetReplaces() || s.req.GetVersion() != 0 && s.req.GetVersion() != earlier.GetNumber() {
		s.err = fmt.Errorf("%w: change id belongs to version %d", ErrInvalid, earlier.GetNumber())
		return
	}
	s.answer = &controlwire.SubmitResponse{
		Result:  controlwire.SubmitResult_SUBMIT_RESULT_ACCEPTED,
		Version: earlier.GetNumber(),
	}
}

// conflict answers with the change that replaced the same version.
func (s *submission) conflict(base *State) {
	winner := base.changeAfter(s.req.GetReplaces())
	if winner == nil {
		s.err = ErrTooOld
		return
	}
	s.answer = &controlwire.SubmitResponse{
		Result: controlwire.SubmitResult_SUBMIT_RESULT_CONFLICT,
		Winner: winner,
	}
}

// transition returns the transition that accepts the change, unless the
// change of voters that it asks for must wait.
func (s *submission) transition(base *State) *voterwire.Transition {
	membership, ok := s.membership(base.membership())
	if !ok {
		return nil
	}
	number := base.number() + 1
	if s.req.GetVersion() != 0 {
		number = s.req.GetVersion()
	}
	s.answer = &controlwire.SubmitResponse{
		Result:  controlwire.SubmitResult_SUBMIT_RESULT_ACCEPTED,
		Version: number,
	}
	return &voterwire.Transition{
		Change: &controlwire.HistoryEntry{
			Number:         number,
			ChangeId:       s.req.GetChangeId(),
			Operator:       s.req.GetOperator(),
			AcceptedUnixMs: time.Now().UnixMilli(),
			Message:        s.req.GetMessage(),
			Changes:        compiler.Diff(base.Version().GetDocument(), s.req.GetDocument()),
			Replaced:       proto.Uint64(base.number()),
		},
		Digest:     s.digest,
		Membership: membership,
	}
}

// membership returns the membership that the document asks for, or nil if it
// asks for no other than m. It reports false if the change must wait.
func (s *submission) membership(m *voterwire.Membership) (*voterwire.Membership, bool) {
	addresses := voterAddresses(s.req.GetDocument())
	if len(addresses) == 0 || slices.Equal(addresses, addressesOf(m)) {
		return nil, true
	}
	if len(m.GetPrevious()) > 0 {
		s.replacing = true
		return nil, false
	}
	var voters []*voterwire.Member
	for _, address := range addresses {
		member := memberAt(m, address)
		if member == nil {
			member = &voterwire.Member{Identity: s.identities[address], Address: address}
		}
		if member.GetIdentity() == "" {
			s.unresolved = append(s.unresolved, address)
		}
		voters = append(voters, member)
	}
	if len(s.unresolved) > 0 {
		return nil, false
	}
	return replaceMembers(m, voters), true
}

// memberAt returns the voter with the given address, or nil.
func memberAt(m *voterwire.Membership, address string) *voterwire.Member {
	for _, member := range m.GetVoters() {
		if member.GetAddress() == address {
			return member
		}
	}
	return nil
}

// addressesOf returns the addresses of the voters, in order.
func addressesOf(m *voterwire.Membership) []string {
	addresses := make([]string, 0, len(m.GetVoters()))
	for _, member := range m.GetVoters() {
		addresses = append(addresses, member.GetAddress())
	}
	slices.Sort(addresses)
	return addresses
}

// Errors of a Voter.
var (
	// ErrInvalid means that a submission can never be accepted as it is.
	ErrInvalid = errors.New("invalid submission")
	// ErrTooOld means that the replaced version is so old that it is no longer
	// known what replaced it.
	ErrTooOld = errors.New("the replaced version is older than what is remembered")
	// ErrNoGroup means that the instance belongs to no group of voters yet.
	ErrNoGroup = errors.New("no group of voters has formed")
	// ErrStale means that no majority of voters confirmed what the instance
	// holds, so that others may have accepted newer versions.
	ErrStale = errors.New("this instance is stale: it reached no majority of the voters")
	// ErrNoMajority means that no majority was reached and that the change was not proposed.
	ErrNoMajority = errors.New("no majority of voters reached; the change was not proposed")
	// ErrTooFewVoters means that the group has too few voters yet to bear the
	// losses that it must, and that the change was not proposed.
	ErrTooFewVoters = errors.New("the group has too few voters yet; the change was not proposed")
	// ErrOutcomeUnknown means that the change was proposed, but no majority
	// confirmed it. A resend with the same change id tells the outcome.
	ErrOutcomeUnknown = errors.New("no majority of voters confirmed the change; whether it is accepted is unknown")
	// ErrVoterUnreachable means that an instance that is to become a voter does not answer.
	ErrVoterUnreachable = errors.New("an instance that is to become a voter does not answer")
)
