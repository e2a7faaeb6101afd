package org.radishpost.store.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.radishpost.errors.AppendUnknownException;
import org.radishpost.errors.LogUnavailableException;
import org.radishpost.errors.RadishpostException;
import org.radishpost.lib.Endpoint;
import org.radishpost.store.LogPage;
import org.radishpost.store.LogRecord;
import org.radishpost.store.PlatformLog;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Accesses the platform's log over HTTP and JSON; thread-safe.
 *
 * <p>A record has not been appended if no connection could be established, or if the log rejected
 * the append with a 4xx status or 503. After every other failure, such as a connection reset or a
 * missing response, it is unknown whether the record has been appended. Requests are never retried
 * automatically.
 */
public final class HttpPlatformLog implements PlatformLog {
  /** Maximum size of a response, in bytes. */
  public static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

  private static final int MAX_APPEND_RESPONSE_BYTES = 4096;
  private static final String JSON_TYPE = "application/json";

  private final HttpClient client;
  private final Duration responseTimeout;
  private final LogJson json = new LogJson();

  /**
   * Creates a client.
   *
   * @param connections the connection pool
   * @param server the address of the log
   * @param responseTimeout the maximum wait for a response, in addition to the wait that a read
   *     requests
   */
  public HttpPlatformLog(
      ConnectionProvider connections, Endpoint server, Duration responseTimeout) {
    this.client =
        PlatformHttp.client(connections, server)
            .headers(headers -> headers.set(HttpHeaderNames.CONTENT_TYPE, JSON_TYPE));
    this.responseTimeout = responseTimeout;
  }

  @Override
  public Mono<LogRecord> append(String stream, byte[] payload) {
    return client
        .responseTimeout(responseTimeout)
        .post()
        .uri(path(stream))
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(json.encodePayload(payload))))
        .response((response, content) -> toRecord(response, content, payload))
        .singleOrEmpty()
        .switchIfEmpty(Mono.error(() -> new IOException("the response was empty")))
        .onErrorMap(HttpPlatformLog::toAppendFailure);
  }

  @Override
  public Mono<LogPage> read(String stream, long fromOffset, int maxRecords, Duration wait) {
    String query = "?from=" + fromOffset + "&max=" + maxRecords + "&waitMillis=" + wait.toMillis();
    return client
        .responseTimeout(wait.plus(responseTimeout))
        .get()
        .uri(path(stream) + query)
        .response(this::toPage)
        .singleOrEmpty()
        .switchIfEmpty(Mono.error(() -> new IOException("the response was empty")))
        .onErrorMap(HttpPlatformLog::toReadFailure);
  }

  private Mono<LogRecord> toRecord(
      HttpClientResponse response, ByteBufFlux content, byte[] payload) {
    int status = response.status().code();
    if (status == PlatformHttp.UNAVAILABLE || isClientError(status)) {
      return rejected(status, content);
    }
    if (status != PlatformHttp.OK) {
      return Mono.error(new IOException("the log responded with status " + status));
    }
    return PlatformHttp.body(content, MAX_APPEND_RESPONSE_BYTES)
        .flatMap(body -> Mono.fromCallable(() -> json.decodeAppended(body, payload)));
  }

  private Mono<LogPage> toPage(HttpClientResponse response, ByteBufFlux content) {
    int status = response.status().code();
    if (status != PlatformHttp.OK) {
      return rejected(status, content);
    }
    return PlatformHttp.body(content, MAX_RESPONSE_BYTES)
        .flatMap(body -> Mono.fromCallable(() -> json.decodePage(body)));
  }

  private static <T> Mono<T> rejected(int status, ByteBufFlux content) {
    LogUnavailableException failure =
        new LogUnavailableException(
            "The platform's log responded with status " + status + ": try again later.");
    return content.then(Mono.error(failure));
  }

  private static Throwable toAppendFailure(Throwable cause) {
    if (cause instanceof RadishpostException) {
      return cause;
    }
    if (PlatformHttp.isConnectFailure(cause)) {
      return toReadFailure(cause);
    }
    return new AppendUnknownException(
        "The response to the append was lost: read the stream to check for the record.", cause);
  }

  private static Throwable toReadFailure(Throwable cause) {
    if (cause instanceof RadishpostException) {
      return cause;
    }
    return new LogUnavailableException(
        "The platform's log does not respond: check its address in the settings or try later.",
        cause);
  }

  private static boolean isClientError(int status) {
    return status >= PlatformHttp.MIN_CLIENT_ERROR && status < PlatformHttp.MIN_SERVER_ERROR;
  }

  private static String path(String stream) {
    return "/streams/" + URLEncoder.encode(stream, StandardCharsets.UTF_8) + "/records";
  }
}
