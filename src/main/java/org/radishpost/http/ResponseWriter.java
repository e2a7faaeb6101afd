package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServerResponse;

/** Writes responses to callers and to other VMs. */
final class ResponseWriter {
  private static final String LOST_DETAIL =
      "The response failed before the first byte of its body.";

  private ResponseWriter() {}

  /**
   * Writes a response.
   *
   * <p>If the body fails before its first byte, a refusal is written instead. If it fails later,
   * the connection is closed, which truncates the response.
   */
  static Publisher<Void> write(
      Response response, String method, HttpServerResponse serverResponse) {
    return write(response, method, serverResponse, EmptyHttpHeaders.INSTANCE);
  }

  /** Writes a response with additional header fields for another VM. */
  static Publisher<Void> write(
      Response response,
      String method,
      HttpServerResponse serverResponse,
      HttpHeaders extraFields) {
    if (method.equals("HEAD")) {
      return response
          .body()
          .doOnNext(ByteBuf::release)
          .then()
          .materialize()
          .publishOn(eventLoop(serverResponse))
          .flatMap(
              end ->
                  sendHeadOnly(
                      end.isOnError() ? responseLost() : response, serverResponse, extraFields));
    }
    return response
        .body()
        .switchOnFirst(
            (first, bodyFlux) ->
                first.isOnError()
                    ? send(
                        responseLost(),
                        responseLost().body(),
                        serverResponse,
                        EmptyHttpHeaders.INSTANCE)
                    : send(response, bodyFlux, serverResponse, extraFields))
        .doOnDiscard(ByteBuf.class, ByteBuf::release);
  }

  /**
   * Returns the event loop thread of the connection. A head without a body that another thread
   * sends may end the response on that thread, where the library can dispatch two later requests at
   * once.
   */
  static Scheduler eventLoop(HttpServerResponse serverResponse) {
    AtomicReference<Executor> eventLoop = new AtomicReference<>();
    serverResponse.withConnection(connection -> eventLoop.set(connection.channel().eventLoop()));
    return Schedulers.fromExecutor(eventLoop.get());
  }

  private static Response responseLost() {
    return Response.of(Problems.responseLost(HttpResponseStatus.BAD_GATEWAY.code(), LOST_DETAIL));
  }

  private static Mono<Void> sendHeadOnly(
      Response response, HttpServerResponse serverResponse, HttpHeaders extraFields) {
    writeHead(response, serverResponse, extraFields);
    return serverResponse.sendHeaders().then();
  }

  private static Publisher<Void> send(
      Response response,
      Flux<ByteBuf> body,
      HttpServerResponse serverResponse,
      HttpHeaders extraFields) {
    writeHead(response, serverResponse, extraFields);
    if (response.headers().contains("trailer")) {
      AtomicReference<HttpHeaders> trailers = new AtomicReference<>(EmptyHttpHeaders.INSTANCE);
      response.trailers().subscribe(trailers::set);
      serverResponse.trailerHeaders(trailerFields -> trailerFields.add(trailers.get()));
    }
    return serverResponse.send(body);
  }

  private static void writeHead(
      Response response, HttpServerResponse serverResponse, HttpHeaders extraFields) {
    serverResponse.status(HttpResponseStatus.valueOf(response.status()));
    HttpHeaders headers = serverResponse.responseHeaders();
    for (Map.Entry<String, String> field : response.headers()) {
      if (!HeaderNames.isBetweenVms(field.getKey())) {
        headers.add(field.getKey(), field.getValue());
      }
    }
    headers.add(extraFields);
    headers.set(HeaderNames.WRITTEN_MARKER, "1");
  }
}
