package tsspill

import (
	"math"
	"time"
)

// Features of the model of the time to first byte.
const (
	featureConstant = iota
	featureLoad
	featureTokens
	featureRemote
	// featureAssumed is the tokens that the server is assumed to have cached, though
	// this entry VM has not seen it answer a request with them.
	featureAssumed
	featureCount
)

const (
	// memorySpan is the time constant with which measurements lose weight. The
	// servers' speed changes within seconds, and a small entry VM measures a few
	// requests a second.
	memorySpan = 6 * time.Second
	// prefixMemorySpan is the same for what prefixes are decided by. One of 82 entry
	// VMs measures about one request a second.
	prefixMemorySpan = 30 * time.Second
	// maxFirstByte bounds one measurement, so that a request that hung does not
	// outweigh all others.
	maxFirstByte = 10 * time.Second
	// tokensPerFeature scales prompt tokens to the size of the other features.
	tokensPerFeature = 1000
	// priorReadMs is the assumed time to read 1,000 prompt tokens, at 56 tokens
	// per ms, the slower of the servers seen.
	priorReadMs = 1000.0 / 56
	// priorDelayMs is the assumed delay to another failure domain: two ways of
	// 0.9 ms.
	priorDelayMs = 1.8
	// minSlopeMs and minSlopeShare bound how little one request per slot may
	// cost, absolute and as a share of the mean time to first byte. The slope
	// divides the penalty.
	minSlopeMs    = 1.0
	minSlopeShare = 0.1
)

// priorWeights are the weights of the assumed values, in squared units of the
// features. A remote weight of 10 outweighs fewer than ten requests to other
// failure domains; a load weight of 1 outweighs 25 requests whose loads differ
// by 0.2 per slot. An assumed weight of 1,400 outweighs eight requests with 13,300
// shared tokens.
var priorWeights = [featureCount]float64{featureConstant: 0.05, featureLoad: 1, featureTokens: 10, featureRemote: 10, featureAssumed: 1400}

// prefixPriorWeights are those for the decisions about prefixes, which one entry VM
// takes by few measurements: about 200 requests outweigh the assumed delay, and eight
// with 13,300 unread tokens the assumed time to read them.
var prefixPriorWeights = [featureCount]float64{featureConstant: 0.05, featureLoad: 1, featureTokens: 1400, featureRemote: 200, featureAssumed: 1400}

// Sample is a measured request.
type Sample struct {
	// Remote is true if the server is in another failure domain.
	Remote bool
	// Load is the server's load per slot when the request was sent.
	Load float64
	// Unread is the number of prompt tokens that the server had to read, without
	// those that it had cached as far as this entry VM knows.
	Unread int64
	// Assumed is the number of tokens that the server is assumed to have cached since
	// it is the prefix's home, while this entry VM has not seen it read them.
	Assumed int64
	// FirstByte is the time from dispatch to the first byte.
	FirstByte time.Duration
	// RequestBytes and AnswerBytes are the bytes of the bodies.
	RequestBytes, AnswerBytes int64
}

// model explains the time to first byte by the server's load, the prompt tokens
// to read and whether the server is in another failure domain: a linear
// regression with exponential forgetting and assumed values, which take over as
// measurements lose weight.
type model struct {
	// span is the time constant with which measurements lose weight.
	span time.Duration
	// priors are the weights of the assumed values.
	priors [featureCount]float64
	xx     [featureCount][featureCount]float64
	xy     [featureCount]float64
	// remote and local are the weights of the measurements, y the weighted sum of
	// the times in milliseconds.
	remote, local, y float64
	at               time.Time
}

// estimate is what the model says now.
type estimate struct {
	// slopeMs is the time that one more request per slot costs, readMs the time
	// to read 1,000 prompt tokens, and delayMs how much later a first byte comes
	// from another failure domain at equal load.
	slopeMs, readMs, delayMs float64
	// weight is the weight of all measurements.
	weight float64
}

// decay reduces the weight of the measurements before now.
func (m *model) decay(now time.Time) {
	if m.at.IsZero() || !now.After(m.at) {
		m.at = later(m.at, now)
		return
	}
	keep := math.Exp(-float64(now.Sub(m.at)) / float64(m.span))
	m.at = now
	for i := range m.xx {
		m.xy[i] *= keep
		for j := range m.xx[i] {
			m.xx[i][j] *= keep
		}
	}
	m.remote, m.local, m.y = m.remote*keep, m.local*keep, m.y*keep
}

// add records a measurement.
func (m *model) add(now time.Time, s Sample) {
	m.decay(now)
	var x [featureCount]float64
	x[featureConstant], x[featureLoad], x[featureTokens] = 1, s.Load, float64(s.Unread)/tokensPerFeature
	x[featureAssumed] = float64(s.Assumed) / tokensPerFeature
	if s.Remote {
		x[featureRemote] = 1
		m.remote++
	} else {
		m.local++
	}
	y := milliseconds(min(s.FirstByte, maxFirstByte))
	m.y += y
	for i := range x {
		m.xy[i] += x[i] * y
		for j := range x {
			m.xx[i][j] += x[i] * x[j]
		}
	}
}

// estimate solves the regression.
func (m *model) estimate(now time.Time) estimate {
	m.decay(now)
	weight := m.remote + m.local
	if weight < minWeight {
		return estimate{readMs: priorReadMs, delayMs: priorDelayMs, weight: weight}
	}
	mean := m.y / weight
	prior := [featureCount]float64{featureLoad: mean, featureTokens: priorReadMs, featureRemote: priorDelayMs}
	a, b := m.xx, m.xy
	for i := range a {
		a[i][i] += m.priors[i]
		b[i] += m.priors[i] * prior[i]
	}
	x := solve(a, b)
	return estimate{
		slopeMs: max(x[featureLoad], minSlopeShare*mean, minSlopeMs), readMs: max(x[featureTokens], 0), delayMs: x[featureRemote], weight: weight,
	}
}

// solve returns x with a·x = b for a positive definite a, by Gaussian
// elimination, which needs no pivoting then.
func solve(a [featureCount][featureCount]float64, b [featureCount]float64) (x [featureCount]float64) {
	for i := range a {
		for k := i + 1; k < featureCount; k++ {
			f := a[k][i] / a[i][i]
			for j := i; j < featureCount; j++ {
				a[k][j] -= f * a[i][j]
			}
			b[k] -= f * b[i]
		}
	}
	for i := featureCount - 1; i >= 0; i-- {
		x[i] = b[i]
		for j := i + 1; j < featureCount; j++ {
			x[i] -= a[i][j] * x[j]
		}
		x[i] /= a[i][i]
	}
	return x
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
