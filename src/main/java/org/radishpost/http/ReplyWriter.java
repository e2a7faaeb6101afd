package org.radishpost.http;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.atomic.AtomicReference;
import org.reactivestreams.Publisher;
import reactor.netty.http.server.HttpServerResponse;

/** Writes answers to callers and to other VMs. */
final class ReplyWriter {
  private ReplyWriter() {}

  /** Writes the whole answer; an error in its body closes the connection with the answer cut. */
  static Publisher<Void> write(Reply reply, String method, HttpServerResponse response) {
    response.status(HttpResponseStatus.valueOf(reply.status()));
    response.responseHeaders().setAll(reply.headers());
    if (method.equals("HEAD")) {
      return reply.body().doOnNext(part -> part.release()).then(response.sendHeaders().then());
    }
    if (reply.headers().contains("trailer")) {
      AtomicReference<HttpHeaders> trailers = new AtomicReference<>(EmptyHttpHeaders.INSTANCE);
      reply.trailers().subscribe(trailers::set);
      response.trailerHeaders(fields -> fields.add(trailers.get()));
    }
    return response.send(reply.body());
  }

  /** Writes an answer of the system's own and closes the connection after it. */
  static Publisher<Void> refuseAndClose(Problem problem, HttpServerResponse response) {
    response.header("connection", "close");
    return write(Reply.of(problem), "GET", response);
  }
}
