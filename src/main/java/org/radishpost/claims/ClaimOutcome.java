package org.radishpost.claims;

/**
 * The outcome of the attempt that was sent for a key, as reported to later attempts.
 *
 * @param status the HTTP status of the target's response
 * @param contentType the content type of the body, empty if no body is stored
 * @param body the response body, empty if it is too large or the route has home regions; must not
 *     be modified
 */
public record ClaimOutcome(int status, String contentType, byte[] body) {}
