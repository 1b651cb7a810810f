package tsversion

import (
	"context"
	"time"

	"turmericshed"
	"turmericshed/core/tsversion"
)

// unansweredRetryAfter is the Retry-After of a stream whose version somebody who did not answer may know.
const unansweredRetryAfter = 500 * time.Millisecond

// How the version of a stream was found, the values of the label "by".
const (
	foundHere    = "here"
	foundHolder  = "holder"
	foundSole    = "sole"
	foundSaved   = "saved"
	foundUnknown = "unknown"
)

// Find returns the beginning of a stream: as recorded here or at a holder, otherwise at the only
// version of the service that is registered, or that all entry VMs know if the store does not answer,
// or as saved in the store. The registered versions are read
// for each stream, since the entry VM that began it may have registered one a moment ago. Errors:
// KindNoBackend if the version can't be determined, with a retry-after time only if the store or a holder
// did not answer; KindCanceled.
func (v *Versions) Find(ctx context.Context, service string, id turmericshed.RequestID) (turmericshed.StreamBeginning, error) {
	b, ok := v.get(id)
	if ok {
		v.found.WithLabelValues(foundHere).Inc()
		return b, nil
	}
	lookupCtx, cancel := context.WithTimeout(ctx, v.timeout())
	defer cancel()
	stored, asked := make(chan tsversion.Versions, 1), make(chan answers, 1)
	go func() { stored <- v.read(lookupCtx) }()
	go func() { asked <- v.ask(lookupCtx, service, id) }()
	var registered tsversion.Versions
	var held answers
	for range 2 {
		select {
		case registered = <-stored:
			if s, ok := v.sole(service, registered, nil); ok {
				v.found.WithLabelValues(foundSole).Inc()
				return turmericshed.StreamBeginning{Request: id, Service: service, Software: s}, nil
			}
		case held = <-asked:
			if held.stream != nil {
				v.found.WithLabelValues(foundHolder).Inc()
				v.mu.Lock()
				defer v.mu.Unlock()
				v.streams.Put(*held.stream)
				return *held.stream, nil
			}
		}
	}
	var others survey
	loaded := make(chan struct{})
	go func() {
		v.load(ctx)
		close(loaded)
	}()
	if registered == nil {
		others = v.surveys.Do(service, func() survey { return v.survey(context.WithoutCancel(ctx), service) })
		if s, ok := v.soleOfSurvey(service, others); ok {
			v.found.WithLabelValues(foundSole).Inc()
			return turmericshed.StreamBeginning{Request: id, Service: service, Software: s}, nil
		}
	}
	<-loaded
	if b, ok := v.get(id); ok {
		v.found.WithLabelValues(foundSaved).Inc()
		return b, nil
	}
	if ctx.Err() != nil {
		return b, turmericshed.NewError(turmericshed.KindCanceled, "canceled while the version of a stream was determined")
	}
	v.found.WithLabelValues(foundUnknown).Inc()
	err := turmericshed.NewError(turmericshed.KindNoBackend, "the software version that began the stream of attempt %q is unknown; registered: %v, holders that answered: %d of %d, entry VMs without the store: %d of %d", id, registered[service], held.count, held.asked, others.count, others.asked)
	if registered == nil || held.count < held.asked {
		return b, turmericshed.WithRetryAfter(err, unansweredRetryAfter)
	}
	return b, turmericshed.WithRetryAfter(err, 0)
}

// get returns the beginning of a stream that is recorded here.
func (v *Versions) get(id turmericshed.RequestID) (turmericshed.StreamBeginning, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.streams.Get(time.Now(), id)
}

// sole returns the version of a service if no other one is registered, or known here or to the holders.
// It returns false for nil.
func (v *Versions) sole(service string, registered tsversion.Versions, held []turmericshed.SoftwareVersion) (turmericshed.SoftwareVersion, bool) {
	if registered == nil {
		return "", false
	}
	all := versionsOf(service, registered[service])
	all.Add(versionsOf(service, held))
	v.mu.Lock()
	defer v.mu.Unlock()
	all.Add(versionsOf(service, v.knownVersions(service)))
	return all.Sole(service)
}

// versionsOf returns the versions of one service.
func versionsOf(service string, list []turmericshed.SoftwareVersion) tsversion.Versions {
	v := tsversion.Versions{}
	for _, s := range list {
		v.Add(tsversion.Versions{service: {s}})
	}
	return v
}

// knownVersions returns the versions of a service that are listed, or registered as far as known. v.mu
// must be held.
func (v *Versions) knownVersions(service string) []turmericshed.SoftwareVersion {
	known := v.tracker.Registered()
	known.Add(v.tracker.Unregistered())
	return known[service]
}

// read returns the registered versions from the store; nil if it does not answer.
func (v *Versions) read(ctx context.Context) tsversion.Versions {
	item, err := v.cfg.Store.Get(ctx, storeKey)
	if err != nil {
		v.cfg.Log.Info("cannot read the registered software versions", "error", err.Error())
		return nil
	}
	registered, err := decodeVersions(item)
	if err != nil {
		v.cfg.Log.Error("cannot use the registered software versions", "error", err.Error())
		return nil
	}
	return registered
}
