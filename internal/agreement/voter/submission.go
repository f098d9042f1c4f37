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

// Size limits of a submission, in bytes.
const (
	maxIDBytes       = 128 // Of the change id and of the operator.
	maxMessageBytes  = 1024
	maxDocumentBytes = 4 << 20
)

// DocumentFunc returns the document of a change, derived from the document of the version
// that the change replaces, which it must not modify.
type DocumentFunc func(replaced *controlwire.Document) (*controlwire.Document, error)

// submission decides the outcome of one request on a given state.
type submission struct {
	req        *controlwire.SubmitRequest
	derive     DocumentFunc // Nil if the request has its document.
	digestFunc DigestFunc
	// identities maps addresses of instances that would become voters to their
	// identities.
	identities map[string]string

	// document is the document of the change, and digest its digest. A derived one is set
	// by each call of decide on the version that the change replaces.
	document *controlwire.Document
	digest   []byte

	// The outcome of the last call of decide.
	response           *controlwire.SubmitResponse
	err                error
	unresolved         []string // Addresses without an entry in identities.
	replacementPending bool     // True if an earlier replacement of voters must finish first.
}

// newSubmission returns the submission of a request. With derive, the request's document
// is ignored.
func newSubmission(req *controlwire.SubmitRequest, derive DocumentFunc, digest DigestFunc) *submission {
	return &submission{req: req, derive: derive, digestFunc: digest, identities: make(map[string]string)}
}

// prepare validates the request. It returns an error if the request is invalid on any
// state.
func (s *submission) prepare() error {
	if err := validateRequest(s.req); err != nil {
		return err
	}
	if s.derive != nil {
		return nil
	}
	return s.setDocument(s.req.GetDocument())
}

func validateRequest(req *controlwire.SubmitRequest) error {
	switch {
	case req.GetChangeId() == "":
		return fmt.Errorf("%w: the change id is empty", ErrInvalid)
	case len(req.GetChangeId()) > maxIDBytes || len(req.GetOperator()) > maxIDBytes:
		return fmt.Errorf("%w: change id or operator longer than %d bytes", ErrInvalid, maxIDBytes)
	case len(req.GetMessage()) > maxMessageBytes:
		return fmt.Errorf("%w: message longer than %d bytes", ErrInvalid, maxMessageBytes)
	}
	return nil
}

// setDocument validates the document and sets it and its digest.
func (s *submission) setDocument(doc *controlwire.Document) error {
	if proto.Size(doc) > maxDocumentBytes {
		return fmt.Errorf("%w: document larger than %d bytes", ErrInvalid, maxDocumentBytes)
	}
	if e := compiler.FindDuplicate(doc); e != nil {
		return fmt.Errorf("%w: two entries for [%s] %s in layer %q", ErrInvalid, e.GetSection(), e.GetKey(), e.GetLayer())
	}
	s.document, s.digest = doc, s.digestFunc(doc)
	return nil
}

// deriveDocument sets the document of a change that replaces the version of base.
func (s *submission) deriveDocument(base *State) error {
	if s.derive == nil {
		return nil
	}
	doc, err := s.derive(base.Version().GetDocument())
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return s.setDocument(doc)
}

// decide is the transitionFunc of the submission. It sets the outcome fields.
func (s *submission) decide(base *State) *voterwire.Transition {
	s.response, s.err, s.unresolved, s.replacementPending = nil, nil, nil, false
	if earlier := base.changeByID(s.req.GetChangeId()); earlier != nil {
		s.repeatResponse(earlier)
		return nil
	}
	switch {
	case s.req.GetReplaces() > base.number():
		s.err = fmt.Errorf("%w: it replaces version %d, but the newest is %d", ErrBaseTooNew, s.req.GetReplaces(), base.number())
		return nil
	case s.req.GetReplaces() < base.number():
		s.reportConflict(base)
		return nil
	case s.req.GetVersion() != 0 && s.req.GetVersion() <= base.number():
		s.err = fmt.Errorf("%w: its version number %d is not above the newest version %d", ErrInvalid, s.req.GetVersion(), base.number())
		return nil
	}
	if s.err = s.deriveDocument(base); s.err != nil {
		return nil
	}
	return s.transition(base)
}

// repeatResponse sets the same response as when the change was accepted.
func (s *submission) repeatResponse(earlier *controlwire.HistoryEntry) {
	if replacedVersion(earlier) != s.req.GetReplaces() || s.req.GetVersion() != 0 && s.req.GetVersion() != earlier.GetNumber() {
		s.err = fmt.Errorf("%w: the change id was already used by version %d", ErrInvalid, earlier.GetNumber())
		return
	}
	s.response = &controlwire.SubmitResponse{
		Result:  controlwire.SubmitResult_SUBMIT_RESULT_ACCEPTED,
		Version: earlier.GetNumber(),
	}
}

// reportConflict sets a response with the change that replaced the same version.
func (s *submission) reportConflict(base *State) {
	winner := base.changeReplacing(s.req.GetReplaces())
	if winner == nil {
		s.err = ErrTooOld
		return
	}
	s.response = &controlwire.SubmitResponse{
		Result: controlwire.SubmitResult_SUBMIT_RESULT_CONFLICT,
		Winner: winner,
	}
}

// transition returns the transition that applies the change, or nil if the
// replacement of voters that it asks for must wait.
func (s *submission) transition(base *State) *voterwire.Transition {
	target, ok := s.targetMembership(base.membership())
	if !ok {
		return nil
	}
	number := base.number() + 1
	if s.req.GetVersion() != 0 {
		number = s.req.GetVersion()
	}
	s.response = &controlwire.SubmitResponse{
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
			Changes:        compiler.Diff(base.Version().GetDocument(), s.document),
			Replaced:       proto.Uint64(base.number()),
		},
		Digest:     s.digest,
		Membership: target,
	}
}

// targetMembership returns the membership that the document asks for, or nil if
// that does not differ from m. It returns false if the change must wait for an
// earlier replacement or for the identities of new voters.
func (s *submission) targetMembership(m *voterwire.Membership) (*voterwire.Membership, bool) {
	addresses := documentVoters(s.document)
	if len(addresses) == 0 || slices.Equal(addresses, memberAddresses(m)) {
		return nil, true
	}
	if len(m.GetPrevious()) > 0 {
		s.replacementPending = true
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
	return jointMembership(m, voters), true
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

// memberAddresses returns the sorted addresses of the voters.
func memberAddresses(m *voterwire.Membership) []string {
	addresses := make([]string, 0, len(m.GetVoters()))
	for _, member := range m.GetVoters() {
		addresses = append(addresses, member.GetAddress())
	}
	slices.Sort(addresses)
	return addresses
}

// Errors of a Voter.
var (
	// ErrInvalid means that the submission can never be accepted; resending it does
	// not help.
	ErrInvalid = errors.New("invalid submission")
	// ErrBaseTooNew means that the version that the change replaces does not exist yet.
	// Resending the change may help: the change that creates that version may be in
	// progress.
	ErrBaseTooNew = errors.New("the replaced version does not exist yet")
	// ErrTooOld means that the history no longer contains the change that replaced
	// the version.
	ErrTooOld = errors.New("the replaced version is older than the remembered history")
	// ErrNoGroup means that the instance does not belong to a group of voters yet.
	ErrNoGroup = errors.New("no group of voters has formed")
	// ErrStale means that no majority of voters confirmed the instance's state, so
	// that others may have accepted newer versions.
	ErrStale = errors.New("this instance is stale: it reached no majority of the voters")
	// ErrNoMajority means that no majority was reached and the change was not
	// proposed.
	ErrNoMajority = errors.New("no majority of voters reached; the change was not proposed")
	// ErrTooFewVoters means that the group does not have enough voters yet to
	// tolerate the configured losses, and the change was not proposed.
	ErrTooFewVoters = errors.New("the group does not have enough voters yet; the change was not proposed")
	// ErrOutcomeUnknown means that the change was proposed, but no majority
	// confirmed it. Resending it with the same change id returns the outcome.
	ErrOutcomeUnknown = errors.New("no majority of voters confirmed the change; whether it is accepted is unknown")
	// ErrVoterNotReady means that an instance that would become a voter does not
	// respond or can't vote because its disk failed.
	ErrVoterNotReady = errors.New("an instance that would become a voter is not ready")
)
