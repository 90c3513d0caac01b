package entry

import (
	"net/http"
	"time"

	"sardinecross.example/lib/fleet"
	"sardinecross.example/lib/orgs"
	"sardinecross.example/lib/route"
)

// staleRetryAfter is the Retry-After of a host whose configuration is too old to accept keys. A host that cannot read the
// store tries again within 400 ms.
const staleRetryAfter = 500 * time.Millisecond

// Causes of rejections for lack of a valid key, in metrics.
const (
	// noKey means that the request has no key, an empty one, or several.
	noKey = "noKey"
	// unknownKey means that the configuration doesn't hold the key, revokedKey that it held the key when the request came.
	unknownKey = "unknownKey"
	revokedKey = "revokedKey"
)

// rejectKey returns the outcome of a request that lacks a valid key.
func rejectKey(cause, reason string) *outcome {
	o := refuse(http.StatusUnauthorized, reason, 0)
	o.keyCause = cause
	return o
}

// authorise returns the organisation that a request on a route acts for, nil if it needs no key. It returns an outcome if the
// request is refused. The view must have a configuration.
func (h *Handler) authorise(r *http.Request, view *fleet.View, rt *route.Route) (*orgs.Organisation, *outcome) {
	if view.Routes.Organisations == nil || rt.Public {
		return nil, nil
	}
	key, ok := h.deps.Codec.ClientKey(r.Header)
	if !ok {
		return nil, rejectKey(noKey, "no key")
	}
	if o := h.refuseIfStale(); o != nil {
		return nil, o
	}
	o, ok := view.Routes.Organisations.Lookup(key)
	if !ok {
		return nil, rejectKey(unknownKey, "unknown key")
	}
	return o, nil
}

// refuseIfStale returns an outcome if the configuration is so old that a key may have been revoked.
func (h *Handler) refuseIfStale() *outcome {
	if h.deps.RevokeAfter <= 0 || h.deps.ConfigurationAge() <= h.deps.RevokeAfter {
		return nil
	}
	return refuse(http.StatusServiceUnavailable, "configuration is stale", staleRetryAfter)
}

// recheckKey checks the key of a request again, by the given view, which may be newer than the one at its admission. It returns
// the organisation and the outcome as authorise does. It doesn't change c, so that it is safe for concurrent use.
func (h *Handler) recheckKey(c *call, view *fleet.View) (*orgs.Organisation, *outcome) {
	if view.Routes == nil || view.Routes == c.view.Routes {
		if c.organisation == nil {
			return nil, nil
		}
		return c.organisation, h.refuseIfStale()
	}
	rt := c.route
	if current, ok := view.Routes.Match(c.r.Host, c.r.URL.EscapedPath()); ok {
		rt = current
	}
	o, refused := h.authorise(c.r, view, rt)
	if refused != nil && refused.keyCause == unknownKey && c.organisation != nil {
		refused = rejectKey(revokedKey, "key was revoked")
	}
	return o, refused
}

// keepsKey reports whether a request may be sent for the organisation o, nil for none, by the current view.
func (h *Handler) keepsKey(c *call, o *orgs.Organisation) bool {
	current, refused := h.recheckKey(c, h.deps.View())
	return refused == nil && (current == nil) == (o == nil) && (o == nil || current.Name == o.Name)
}

// refuseIfRevoked returns the outcome of a request whose key was revoked before any attempt was sent, in place of the refusal
// o. It returns all other outcomes unchanged.
func (h *Handler) refuseIfRevoked(c *call, o *outcome) *outcome {
	if o.resp != nil || o.status != http.StatusServiceUnavailable {
		return o
	}
	for _, a := range c.attempts {
		if !a.ended || a.result != unsent {
			return o
		}
	}
	if _, refused := h.recheckKey(c, h.deps.View()); refused != nil && refused.status == http.StatusUnauthorized {
		return refused
	}
	return o
}

// setOrganisation replaces the headers of the client's key and organisation in the header of an attempt. Where neither the
// configuration in force at the admission nor the current one has organisations, they are ordinary headers and stay.
func (h *Handler) setOrganisation(c *call, view *fleet.View, header http.Header, o *orgs.Organisation) {
	if !hasOrganisations(c.view) && !hasOrganisations(view) {
		return
	}
	name := ""
	if o != nil {
		name = o.Name
	}
	h.deps.Codec.SetOrganisation(header, name)
}

// hasOrganisations reports whether a view has a configuration with organisations.
func hasOrganisations(v *fleet.View) bool { return v.Routes != nil && v.Routes.Organisations != nil }

// priority returns the effective priority of a request: that of its organisation if it has one, else that of the route.
func (c *call) priority() int {
	if c.organisation != nil && c.organisation.Priority != nil {
		return *c.organisation.Priority
	}
	return c.route.Priority
}

// NeedsBody implements front.BodyChecker: the body of a request that lacks a valid key is not awaited.
func (h *Handler) NeedsBody(r *http.Request) bool {
	view := h.deps.View()
	if !hasOrganisations(view) {
		return true
	}
	rt, ok := view.Routes.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		return true
	}
	_, refused := h.authorise(r, view, rt)
	return refused == nil
}
