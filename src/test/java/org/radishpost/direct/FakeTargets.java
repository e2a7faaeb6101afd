package org.radishpost.direct;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.radishpost.http.CallBody;
import org.radishpost.http.CallSender;
import org.radishpost.http.RequestHead;
import org.radishpost.http.Response;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.ServiceName;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.TargetId;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Targets that answer as a test tells them, and the way they are spoken to. */
final class FakeTargets implements CallSender, TargetProtocol {
  private static final String STATUS = "/status";

  final List<String> sent = new ArrayList<>();
  final List<String> cancelled = new ArrayList<>();
  private final Map<String, Mono<Response>> calls = new HashMap<>();
  private final Map<String, Mono<Response>> statuses = new HashMap<>();

  /** Sets how a target answers calls. */
  void calls(Endpoint target, Mono<Response> answer) {
    calls.put(target.toString(), answer);
  }

  /** Sets how a target answers questions for its load. */
  void statusAnswers(Endpoint target, Mono<Response> answer) {
    statuses.put(target.toString(), answer);
  }

  /** Returns an answer with some fields. */
  static Response reply(int status, String... fields) {
    HttpHeaders headers = new DefaultHttpHeaders();
    for (int i = 0; i < fields.length; i += 2) {
      headers.set(fields[i], fields[i + 1]);
    }
    byte[] body = "body".getBytes(StandardCharsets.UTF_8);
    return new Response(
        status,
        headers,
        Flux.defer(() -> Flux.just(Unpooled.wrappedBuffer(body))),
        Mono.empty(),
        Optional.empty());
  }

  /** Returns an answer that a target's application has made. */
  static Mono<Response> genuine(int status) {
    return Mono.fromSupplier(() -> reply(status, "proof", "1"));
  }

  @Override
  public Mono<Response> send(Endpoint address, RequestHead head, CallBody body, Duration limit) {
    if (head.target().equals(STATUS)) {
      return statuses.getOrDefault(
          address.toString(), Mono.fromSupplier(() -> reply(200, "load", "0")));
    }
    sent.add(address.toString());
    return calls
        .getOrDefault(address.toString(), genuine(200))
        .doOnCancel(() -> cancelled.add(address.toString()));
  }

  @Override
  public void closeIdle(Endpoint address) {}

  @Override
  public Flux<Endpoint> closedAddresses() {
    return Flux.never();
  }

  @Override
  public RequestHead call(RequestHead head, TargetId target, long leftMillis) {
    return head.withField("target", target.value()).withField("left", String.valueOf(leftMillis));
  }

  @Override
  public RequestHead status(ServiceName service) {
    return RequestHead.get(STATUS);
  }

  @Override
  public AnswerFacts read(Response reply) {
    HttpHeaders headers = reply.headers();
    return new AnswerFacts(
        headers.contains("not-run"),
        headers.contains("proof"),
        Optional.ofNullable(headers.get("by")).map(TargetId::new),
        Optional.ofNullable(headers.get("load"))
            .map(running -> new LoadSample(Integer.parseInt(running), 0, 2, 100)),
        Optional.empty());
  }
}
