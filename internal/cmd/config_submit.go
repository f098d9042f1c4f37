package cmd

import (
	"bytes"
	"crypto/rand"
	"fmt"
	"io"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// submission is a change with the client and output streams to submit it.
type submission struct {
	env    *environment
	client controlClient
	req    *controlwire.SubmitRequest
	edit   editFlags
	dryRun bool
}

// configSubmitCmd adds the command that proposes a change to the control instances.
func configSubmitCmd(app *kingpin.Application, env *environment) (string, action) {
	command := configCommand(app).Command("submit", "Submit an edited base file, edited overlays, or both to replace a version.")
	flags := &controlFlags{}
	flags.add(command, true)
	s := &submission{env: env, req: &controlwire.SubmitRequest{}}
	command.Flag("replaces", "Number of the version that was edited; 0 for the first.").Required().Uint64Var(&s.req.Replaces)
	command.Flag("change-id", "Id of the change. Use the same id to send a change again.").StringVar(&s.req.ChangeId)
	command.Flag("operator", "Who submits the change.").Required().StringVar(&s.req.Operator)
	command.Flag("message", "What the change is for.").Required().StringVar(&s.req.Message)
	command.Flag("dry-run", "Show what the change would do, and submit nothing.").BoolVar(&s.dryRun)
	s.edit.add(command)
	return command.FullCommand(), func() (err error) {
		if s.client, err = flags.client(); err != nil {
			return err
		}
		if s.dryRun {
			s.client = newDryRunClient(s.client, env.stdout)
		}
		return s.submit()
	}
}

// prepareDocument sets the document: the replaced version with the edits applied.
// If a newer version is in force, the change is either a resent one or a conflict.
// The voters distinguish these by the change id, whatever the document is.
func (s *submission) prepareDocument() error {
	current, err := s.client.Current(s.env.ctx)
	if err != nil {
		return fmt.Errorf("read the version in force: %w", err)
	}
	number := current.GetDigest().GetNumber()
	if s.req.Replaces > number {
		return errors.Errorf("there is no version %d; the newest is %d", s.req.Replaces, number)
	}
	if s.req.Replaces == number {
		s.req.Document, err = s.edit.apply(s.env.stderr, current.GetDocument())
		return err
	}
	if s.req.Document, err = s.edit.apply(io.Discard, current.GetDocument()); err != nil {
		s.req.Document = current.GetDocument()
	}
	return nil
}

// submit sends the change and prints the result. The change id is printed first,
// so that the change can be resent whatever happens.
func (s *submission) submit() error {
	if s.req.ChangeId == "" {
		s.req.ChangeId = rand.Text()
	}
	fmt.Fprintf(s.env.stdout, "change %s: replaces version %d\n", s.req.ChangeId, s.req.Replaces)
	if err := s.prepareDocument(); err != nil {
		return fmt.Errorf("change %s: this call changed nothing: %w", s.req.ChangeId, err)
	}
	resp, err := s.client.Submit(s.env.ctx, s.req)
	if err != nil {
		return s.submitError(err)
	}
	switch resp.GetResult() {
	case controlwire.SubmitResult_SUBMIT_RESULT_ACCEPTED:
		return s.reportAccepted(resp)
	case controlwire.SubmitResult_SUBMIT_RESULT_CONFLICT:
		return s.reportConflict(resp)
	}
	return s.submitError(errors.New("the result is neither accepted nor conflict"))
}

func (s *submission) reportAccepted(resp *controlwire.SubmitResponse) error {
	if s.dryRun {
		fmt.Fprintf(s.env.stdout, "change %s: would become version %d; nothing was submitted\n", s.req.ChangeId, resp.GetVersion())
		return nil
	}
	if s.acceptedDiffers(resp.GetVersion()) {
		return errors.Errorf("change %s was accepted before as version %d, with other files; submit these as a new change",
			s.req.ChangeId, resp.GetVersion())
	}
	fmt.Fprintf(s.env.stdout, "change %s: accepted as version %d\n", s.req.ChangeId, resp.GetVersion())
	return nil
}

// acceptedDiffers reports whether the accepted version is known to differ from
// the submitted one because the change id was used before. It reports false if a
// newer version is in force, since the accepted one can't be read any more.
func (s *submission) acceptedDiffers(number uint64) bool {
	current, err := s.client.Current(s.env.ctx)
	if err != nil || current.GetDigest().GetNumber() != number {
		return false
	}
	return !bytes.Equal(compiler.Digest(current.GetDocument()), compiler.Digest(s.req.GetDocument()))
}

func (s *submission) reportConflict(resp *controlwire.SubmitResponse) error {
	if winner := resp.GetWinner(); winner != nil {
		fmt.Fprintf(s.env.stdout, "change %s: conflict; the version was replaced by\n", s.req.ChangeId)
		printHistoryEntry(s.env.stdout, winner)
	}
	err := errors.Errorf("change %s was not accepted, since version %d is not the newest; "+
		"show the version in force, edit that and submit it as a new change", s.req.ChangeId, s.req.Replaces)
	return &exitError{code: exitConflict, err: err}
}

// submitError adds to err whether the change was refused, can be sent again
// because nothing was proposed, or has an unknown result.
func (s *submission) submitError(err error) error {
	switch noEffect := errors.Is(err, errNoEffect) || s.dryRun; {
	case noEffect && connect.CodeOf(err) == connect.CodeUnavailable:
		return fmt.Errorf("change %s: nothing was proposed; run the same command again, with --change-id %s: %w",
			s.req.ChangeId, s.req.ChangeId, err)
	case noEffect:
		return fmt.Errorf("change %s: this call changed nothing: %w", s.req.ChangeId, err)
	}
	err = fmt.Errorf("the result of change %s is unknown; to learn it, run the same command again with --change-id %s: %w",
		s.req.ChangeId, s.req.ChangeId, err)
	return &exitError{code: exitUnknown, err: err}
}
