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

/** Targets with configurable responses, and the protocol that they use. */
final class FakeTargets implements CallSender, TargetProtocol {
  private static final String PROBE_PATH = "/status";

  final List<String> sent = new ArrayList<>();
  final List<String> cancelled = new ArrayList<>();
  private final Map<String, Mono<Response>> callResponses = new HashMap<>();
  private final Map<String, Mono<Response>> probeResponses = new HashMap<>();

  /** Sets the response of a target to calls. */
  void setCallResponse(Endpoint target, Mono<Response> response) {
    callResponses.put(target.toString(), response);
  }

  /** Sets the response of a target to load probes. */
  void setProbeResponse(Endpoint target, Mono<Response> response) {
    probeResponses.put(target.toString(), response);
  }

  /** Returns a response with the given header fields as alternating names and values. */
  static Response response(int status, String... fields) {
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

  /** Returns a response that carries the MAC of a target's application. */
  static Mono<Response> authenticated(int status) {
    return Mono.fromSupplier(() -> response(status, "proof", "1"));
  }

  @Override
  public Mono<Response> send(Endpoint address, RequestHead head, CallBody body, Duration limit) {
    if (head.target().equals(PROBE_PATH)) {
      return probeResponses.getOrDefault(
          address.toString(), Mono.fromSupplier(() -> response(200, "load", "0")));
    }
    sent.add(address.toString());
    return callResponses
        .getOrDefault(address.toString(), authenticated(200))
        .doOnCancel(() -> cancelled.add(address.toString()));
  }

  @Override
  public void closeIdle(Endpoint address) {}

  @Override
  public Flux<Endpoint> closedAddresses() {
    return Flux.never();
  }

  @Override
  public RequestHead callHead(RequestHead head, TargetId target, long remainingMillis) {
    return head.withField("target", target.value())
        .withField("left", String.valueOf(remainingMillis));
  }

  @Override
  public RequestHead probeHead(ServiceName service) {
    return RequestHead.get(PROBE_PATH);
  }

  @Override
  public TargetResponseInfo parse(Response response) {
    HttpHeaders headers = response.headers();
    return new TargetResponseInfo(
        headers.contains("not-run"),
        headers.contains("proof"),
        Optional.ofNullable(headers.get("by")).map(TargetId::new),
        Optional.ofNullable(headers.get("load"))
            .map(running -> new LoadSample(Integer.parseInt(running), 0, 2, 100)),
        Optional.empty());
  }
}
