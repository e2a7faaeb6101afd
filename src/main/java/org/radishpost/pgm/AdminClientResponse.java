package org.radishpost.pgm;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A response from the administration API.
 *
 * @param status the HTTP status
 * @param json the body
 */
record AdminClientResponse(int status, JsonNode json) {}
