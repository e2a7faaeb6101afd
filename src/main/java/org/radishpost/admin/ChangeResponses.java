package org.radishpost.admin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.radishpost.config.PublishResult;

/** Converts the results of changes to responses. */
final class ChangeResponses {
  private ChangeResponses() {}

  static AdminResponse of(PublishResult result, String operationId) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("operation", operationId);
    return switch (result) {
      case PublishResult.Accepted accepted ->
          AdminResponse.json(
              200, node.put("result", "accepted").put("version", accepted.version()));
      case PublishResult.Refused refused -> AdminResponse.refused(409, refused.reasons());
      case PublishResult.Unknown unknown ->
          AdminResponse.json(
              202,
              node.put("result", "unknown")
                  .put("remedy", "Send the same request again with the same operation ID."));
    };
  }

  /** Returns the result as the value of an event field. */
  static String eventValue(PublishResult result) {
    return switch (result) {
      case PublishResult.Accepted accepted -> "accepted at " + accepted.version();
      case PublishResult.Refused refused -> "refused";
      case PublishResult.Unknown unknown -> "unknown";
    };
  }
}
