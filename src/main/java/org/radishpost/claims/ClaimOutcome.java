package org.radishpost.claims;

/**
 * How the one run of a key ended, as far as later comers may know.
 *
 * @param status the HTTP status of the target's answer
 * @param contentType the type of the body, empty when no body is kept
 * @param body the body when it is small and the route has no home regions, else empty; not to be
 *     changed
 */
public record ClaimOutcome(int status, String contentType, byte[] body) {}
