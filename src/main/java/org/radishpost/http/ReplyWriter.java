package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** Writes answers to callers and to other VMs. */
final class ReplyWriter {
  private static final String LOST = "The answer broke off before its first byte.";

  private ReplyWriter() {}

  /**
   * Writes the whole answer.
   *
   * <p>An error before the first byte of its body becomes a refusal; a later one closes the
   * connection with the answer cut.
   */
  static Publisher<Void> write(Reply reply, String method, HttpServerResponse response) {
    return write(reply, method, response, EmptyHttpHeaders.INSTANCE);
  }

  /** Writes the whole answer with some fields for the other VM. */
  static Publisher<Void> write(
      Reply reply, String method, HttpServerResponse response, HttpHeaders fields) {
    if (method.equals("HEAD")) {
      return reply
          .body()
          .doOnNext(ByteBuf::release)
          .then()
          .materialize()
          .flatMap(end -> headOnly(end.isOnError() ? lost() : reply, response, fields));
    }
    return reply
        .body()
        .switchOnFirst(
            (first, all) ->
                first.isOnError()
                    ? send(lost(), lost().body(), response, EmptyHttpHeaders.INSTANCE)
                    : send(reply, all, response, fields))
        .doOnDiscard(ByteBuf.class, ByteBuf::release);
  }

  /** Writes an answer of the system's own and closes the connection after it. */
  static Publisher<Void> refuseAndClose(Problem problem, HttpServerResponse response) {
    return refuseAndClose(Reply.of(problem), response);
  }

  /** Writes a refusal and closes the connection after it. */
  static Publisher<Void> refuseAndClose(Reply refusal, HttpServerResponse response) {
    response.header("connection", "close");
    return write(refusal, "GET", response);
  }

  private static Reply lost() {
    return Reply.of(Problems.lostAnswer(HttpResponseStatus.BAD_GATEWAY.code(), LOST));
  }

  private static Mono<Void> headOnly(Reply reply, HttpServerResponse response, HttpHeaders fields) {
    head(reply, response, fields);
    return response.sendHeaders().then();
  }

  private static Publisher<Void> send(
      Reply reply, Flux<ByteBuf> body, HttpServerResponse response, HttpHeaders fields) {
    head(reply, response, fields);
    if (reply.headers().contains("trailer")) {
      AtomicReference<HttpHeaders> trailers = new AtomicReference<>(EmptyHttpHeaders.INSTANCE);
      reply.trailers().subscribe(trailers::set);
      response.trailerHeaders(end -> end.add(trailers.get()));
    }
    return response.send(body);
  }

  private static void head(Reply reply, HttpServerResponse response, HttpHeaders fields) {
    response.status(HttpResponseStatus.valueOf(reply.status()));
    HttpHeaders headers = response.responseHeaders();
    for (Map.Entry<String, String> field : reply.headers()) {
      if (!HeaderNames.betweenVms(field.getKey())) {
        headers.add(field.getKey(), field.getValue());
      }
    }
    headers.add(fields);
    headers.set(HeaderNames.WRITTEN, "1");
  }
}
