package org.radishpost.admin;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * A request to the administration API.
 *
 * @param method the HTTP method
 * @param target the request target: the path and the query, still encoded
 * @param accept the value of the Accept field, or an empty string if there is none
 * @param operationHeader the value of the {@value #OPERATION_HEADER} field, or an empty string if
 *     there is none
 * @param body the body, whose size has already been checked
 */
record AdminRequest(
    String method, String target, String accept, String operationHeader, byte[] body) {
  /** The name of the header field that contains the operation ID. */
  static final String OPERATION_HEADER = "radishpost-operation";

  private static final String OPERATION_PARAMETER = "operation";
  private static final Pattern OPERATION_ID = Pattern.compile("[A-Za-z0-9._:-]{1,64}");

  /** Returns whether the path and the query can be decoded. */
  boolean wellFormed() {
    try {
      QueryStringDecoder decoder = new QueryStringDecoder(target);
      return decoder.path() != null && decoder.parameters() != null;
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  /** Returns the decoded path, without the query. */
  String path() {
    return new QueryStringDecoder(target).path();
  }

  /** Returns the first value of a query parameter, or empty if the query does not have it. */
  Optional<String> queryParameter(String name) {
    List<String> values = new QueryStringDecoder(target).parameters().get(name);
    return values == null ? Optional.empty() : Optional.of(values.getFirst());
  }

  /**
   * Returns the operation ID from the header field, or from the query if there is no such field.
   * Returns empty if the ID is missing or malformed.
   */
  Optional<String> operationId() {
    String operationId =
        operationHeader.isEmpty()
            ? queryParameter(OPERATION_PARAMETER).orElse("")
            : operationHeader;
    return Optional.of(operationId).filter(text -> OPERATION_ID.matcher(text).matches());
  }
}
