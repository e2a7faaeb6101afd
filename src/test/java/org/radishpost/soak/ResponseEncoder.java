package org.radishpost.soak;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.radishpost.platform.WireNames;

/** Encodes the responses of a target, with and without a length and an id. */
final class ResponseEncoder {
  private static final String NOT_RUN_REASON = "1";
  private static final int UNAVAILABLE = 503;

  private final String targetId;
  private final Supplier<String> loadReport;

  ResponseEncoder(String targetId, Supplier<String> loadReport) {
    this.targetId = targetId;
    this.loadReport = loadReport;
  }

  /** Encodes the whole response of a run. */
  byte[] encode(RequestTracker.Run run) {
    return encodeRun(run, run.status(), signedHeaders(run));
  }

  /** Encodes the response of a run with a status that it does not have. */
  byte[] encodeWithStatus(RequestTracker.Run run, int status) {
    return encodeRun(run, status, signedHeaders(run));
  }

  /** Encodes the response of a run without the id of its request. */
  byte[] encodeWithoutId(RequestTracker.Run run) {
    Map<String, String> headers = signedHeaders(run);
    headers.remove(WireNames.REQUEST_ID);
    return encodeRun(run, run.status(), headers);
  }

  /** Encodes a response without a length, with the body bytes as given. */
  byte[] encodeUnframed(RequestTracker.Run run, Map<String, String> framing, String bodyBytes) {
    Map<String, String> headers = signedHeaders(run);
    headers.putAll(framing);
    String head = new String(HttpCodec.encodeHead(statusLine(run.status()), headers));
    return (run.method().equals("HEAD") ? head : head + bodyBytes).getBytes();
  }

  /** Encodes a response of no run. */
  byte[] encodeUnsigned(int status, Map<String, String> headers, String body) {
    return HttpCodec.encode(statusLine(status), allHeaders(headers), body.getBytes());
  }

  /** Encodes a statement that a request did not run. */
  byte[] encodeRefusal(Map<String, String> headers) {
    Map<String, String> refusal = new LinkedHashMap<>(headers);
    refusal.put(WireNames.NOT_EXECUTED, NOT_RUN_REASON);
    return encodeUnsigned(UNAVAILABLE, refusal, "");
  }

  private static byte[] encodeRun(RequestTracker.Run run, int status, Map<String, String> headers) {
    byte[] body = SoakTarget.responseBody(run).getBytes();
    byte[] whole = HttpCodec.encode(statusLine(status), headers, body);
    return run.method().equals("HEAD") ? Arrays.copyOf(whole, whole.length - body.length) : whole;
  }

  private Map<String, String> signedHeaders(RequestTracker.Run run) {
    return allHeaders(
        Map.of(
            WireNames.REQUEST_ID,
            run.id(),
            WireNames.UPSTREAM_SIGNATURE,
            SoakTarget.signature(run)));
  }

  private Map<String, String> allHeaders(Map<String, String> extraHeaders) {
    Map<String, String> headers = new LinkedHashMap<>(extraHeaders);
    headers.put(WireNames.RESPONDING_TARGET, targetId);
    headers.put(WireNames.LOAD_REPORT, loadReport.get());
    return headers;
  }

  private static String statusLine(int status) {
    return "HTTP/1.1 " + status + " Said";
  }
}
