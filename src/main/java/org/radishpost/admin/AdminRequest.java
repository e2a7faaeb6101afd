package org.radishpost.admin;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * One request to the administration API.
 *
 * @param method the method
 * @param target the path with its query
 * @param accept the value of the Accept field, or an empty text
 * @param operationHeader the value of the operation field, or an empty text
 * @param body the body, within its bound
 */
record AdminRequest(
    String method, String target, String accept, String operationHeader, byte[] body) {
  /** The field that names an operation. */
  static final String OPERATION_HEADER = "radishpost-operation";

  private static final String OPERATION_PARAMETER = "operation";
  private static final Pattern OPERATION_ID = Pattern.compile("[A-Za-z0-9._:-]{1,64}");

  /** Tells whether the path and the query can be decoded. */
  boolean wellFormed() {
    try {
      QueryStringDecoder decoder = new QueryStringDecoder(target);
      return decoder.path() != null && decoder.parameters() != null;
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  /** Returns the path without its query, decoded. */
  String path() {
    return new QueryStringDecoder(target).path();
  }

  /** Returns the first value of a parameter of the query. */
  Optional<String> queryParameter(String name) {
    List<String> values = new QueryStringDecoder(target).parameters().get(name);
    return values == null ? Optional.empty() : Optional.of(values.getFirst());
  }

  /** Returns the operation that the request names, if it has the right form. */
  Optional<String> operationId() {
    String operationId =
        operationHeader.isEmpty()
            ? queryParameter(OPERATION_PARAMETER).orElse("")
            : operationHeader;
    return Optional.of(operationId).filter(text -> OPERATION_ID.matcher(text).matches());
  }
}
