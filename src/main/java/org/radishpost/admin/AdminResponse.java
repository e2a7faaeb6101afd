package org.radishpost.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A response of the administration API.
 *
 * @param status the HTTP status
 * @param mediaType the media type of the body
 * @param body the body
 */
record AdminResponse(int status, String mediaType, byte[] body) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String JSON = "application/json";

  static AdminResponse json(int status, JsonNode node) {
    try {
      return new AdminResponse(status, JSON, MAPPER.writeValueAsBytes(node));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the JSON tree cannot be serialized", e);
    }
  }

  static AdminResponse json(int status, byte[] document) {
    return new AdminResponse(status, JSON, document);
  }

  static AdminResponse text(String mediaType, String text) {
    return new AdminResponse(200, mediaType, text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns an error response that lists faults, each with its remedy. */
  static AdminResponse refused(int status, List<String> faults) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("result", "refused");
    ArrayNode list = node.putArray("faults");
    faults.forEach(list::add);
    return json(status, node);
  }

  static AdminResponse refused(int status, String fault) {
    return refused(status, List.of(fault));
  }
}
