package org.radishpost.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Optional;
import java.util.stream.Stream;
import org.radishpost.errors.AdminRequestException;
import org.radishpost.http.ResponseCounters;
import org.radishpost.http.ResponseHandlers;
import org.radishpost.lib.Endpoint;
import reactor.core.Exceptions;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Client of the administration API of one VM; thread-safe. */
final class AdminClient {
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(15);
  private static final int OK = 200;

  private final ObjectMapper mapper = new ObjectMapper();
  private final Endpoint admin;
  private final String token;

  AdminClient(Endpoint admin, String token) {
    this.admin = admin;
    this.token = token;
  }

  /**
   * Sends a GET request.
   *
   * @return the body of the response
   * @throws AdminRequestException if the VM does not respond or refuses the request
   */
  JsonNode get(String path) throws AdminRequestException {
    AdminClientResponse response =
        exchange(HttpMethod.GET, path, new byte[0])
            .orElseThrow(
                () ->
                    new AdminRequestException(
                        "The VM at " + admin + " did not respond: try again or use another VM."));
    if (response.status() != OK) {
      throw toException(response);
    }
    return response.json();
  }

  /**
   * Sends a request for a change.
   *
   * @return the response; empty if none was received although the request may have arrived
   * @throws AdminRequestException if the VM cannot be reached
   */
  Optional<AdminClientResponse> sendChange(HttpMethod method, String path, byte[] body)
      throws AdminRequestException {
    return exchange(method, path, body);
  }

  /** Returns an exception that lists the faults in the response to a refused request. */
  AdminRequestException toException(AdminClientResponse response) {
    StringBuilder text =
        new StringBuilder("The VM at " + admin + " refused the request (" + response.status());
    text.append("):");
    response.json().path("faults").forEach(fault -> text.append(' ').append(fault.asText()));
    return new AdminRequestException(text.toString());
  }

  private Optional<AdminClientResponse> exchange(HttpMethod method, String path, byte[] body)
      throws AdminRequestException {
    try {
      return ResponseHandlers.protect(
              HttpClient.newConnection(), Optional.empty(), new ResponseCounters())
          .host(admin.ip())
          .port(admin.port())
          .disableRetry(true)
          .responseTimeout(RESPONSE_TIMEOUT)
          .headers(
              headers -> {
                headers.set(HttpHeaderNames.AUTHORIZATION, "Bearer " + token);
                headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
              })
          .request(method)
          .uri(path)
          .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
          .responseSingle(
              (response, content) ->
                  content
                      .asByteArray()
                      .defaultIfEmpty(new byte[0])
                      .flatMap(bytes -> Mono.fromCallable(() -> mapper.readTree(bytes)))
                      .map(json -> new AdminClientResponse(response.status().code(), json))
                      .filter(AdminClient::isWhole))
          .blockOptional();
    } catch (RuntimeException e) {
      return handleFailure(Exceptions.unwrap(e));
    }
  }

  /** Returns whether the response is whole: a success always has a document. */
  private static boolean isWhole(AdminClientResponse response) {
    return response.status() != OK || !response.json().isMissingNode();
  }

  private Optional<AdminClientResponse> handleFailure(Throwable cause)
      throws AdminRequestException {
    if (isConnectFailure(cause)) {
      throw new AdminRequestException(
          "Cannot connect to " + admin + ": check --admin and that the VM is running.", cause);
    }
    if (cause instanceof IOException) {
      return Optional.empty();
    }
    throw new AdminRequestException(
        "The VM at " + admin + " could not be reached: check --admin and the network.", cause);
  }

  private static boolean isConnectFailure(Throwable failure) {
    return Stream.iterate(failure, cause -> cause != null, Throwable::getCause)
        .anyMatch(ConnectException.class::isInstance);
  }
}
