package org.radishpost.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.radishpost.lib.Verdict;

/**
 * A refusal as a problem document (RFC 9457).
 *
 * @param status the HTTP status
 * @param reason a short word for programs, the last part of the problem's type
 * @param title what went wrong, for people
 * @param detail what the caller can do
 * @param verdict whether the request ran
 */
public record Problem(int status, String reason, String title, String detail, Verdict verdict) {
  /** The media type of a problem document. */
  public static final String MEDIA_TYPE = "application/problem+json";

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String TYPE_PREFIX = "urn:radishpost:problem:";

  /** Returns the same problem with another verdict. */
  Problem withVerdict(Verdict newVerdict) {
    return new Problem(status, reason, title, detail, newVerdict);
  }

  /** Returns the document. */
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
      throw new IllegalStateException("a tree of texts and numbers is always JSON", e);
    }
  }
}
