package org.radishpost.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.radishpost.lib.Verdict;

/**
 * The refusal of a request, as a problem document (RFC 9457).
 *
 * @param status the HTTP status
 * @param reason the machine-readable reason, which is the last part of the problem type
 * @param title the short description of the problem
 * @param detail what the caller can do
 * @param verdict whether the request ran
 */
public record Problem(int status, String reason, String title, String detail, Verdict verdict) {
  /** The media type of a problem document. */
  public static final String MEDIA_TYPE = "application/problem+json";

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String TYPE_PREFIX = "urn:radishpost:problem:";

  /** Returns a copy of this problem with a different verdict. */
  Problem withVerdict(Verdict newVerdict) {
    return new Problem(status, reason, title, detail, newVerdict);
  }

  /** Returns the problem document as JSON. */
  public byte[] toJson() {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("type", TYPE_PREFIX + reason);
    node.put("title", title);
    node.put("status", status);
    node.put("detail", detail);
    node.put("outcome", verdict.wireName());
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(
          "a tree of strings and numbers can always be written as JSON", e);
    }
  }
}
