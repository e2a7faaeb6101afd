package review;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in for an upstream: serves requests in its slots and writes its entry to the store at
 * each interval. Thread-safe.
 */
final class Upstream {
  static final String TOPIC = "keyed.servers";
  static final String HEALTH_PATH = "/healthz";

  private static final int SLOTS = 8;
  private static final int QUEUE = 4;
  private static final int WORK_MILLIS = 40;
  private static final int REPORT_INTERVAL_MILLIS = 1_500;

  private final String id;
  private final String service;
  private final String zone;
  private final Store store;
  private final Record record;
  private final HttpListener listener = new HttpListener(this::handle);
  private final long bornMillis = System.currentTimeMillis();
  private final Semaphore slots = new Semaphore(SLOTS, true);
  private final AtomicInteger pending = new AtomicInteger();
  private int sequence;
  private boolean reporting = true;
  private volatile int responseBytes = 40;
  private volatile double cutShare;
  private final Set<String> ranSoundly = ConcurrentHashMap.newKeySet();

  Upstream(String id, String service, String zone, Store store, Record record) {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.store = store;
    this.record = record;
  }

  String id() {
    return id;
  }

  /** Sets the size of the bodies of responses. */
  void setResponseBytes(int bytes) {
    responseBytes = bytes;
  }

  /** Sets the share of the responses that end in the middle, with the end of their connection. */
  void setCutShare(double share) {
    cutShare = share;
  }

  /** Returns whether this upstream, while it had no fault, has run the request. */
  boolean ranSoundly(String requestId) {
    return ranSoundly.contains(requestId);
  }

  void start() throws IOException {
    listener.open();
    report();
    Thread.ofVirtual().start(this::reportPeriodically);
  }

  /** Ends the process: no more reports and no more connections. */
  void stop() {
    synchronized (this) {
      reporting = false;
    }
    listener.close();
  }

  /** Writes the entry to the store. */
  synchronized void report() {
    if (reporting) {
      store.put(TOPIC, id, nextEntry());
    }
  }

  private String nextEntry() {
    sequence++;
    return """
        {"service":"%s","address":"%s","zone":"%s","version":"v1","concurrency":%d,\
        "state":"ready","warmup-left-s":0,"sequence":%d,"born":%d}"""
        .formatted(service, listener.address(), zone, SLOTS, sequence, bornMillis);
  }

  private void reportPeriodically() {
    try {
      while (true) {
        Thread.sleep(REPORT_INTERVAL_MILLIS);
        report();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean handle(Http.Message request, OutputStream out) throws Exception {
    if (request.word(1).equals(HEALTH_PATH)) {
      send(out, "200 OK", request, "", "X-Instance-Id", id);
      return true;
    }
    String expected = request.field("X-Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      send(out, "421 Misdirected Request", request, "", "X-Instance-Id", id);
      return true;
    }
    if (pending.incrementAndGet() > SLOTS + QUEUE) {
      pending.decrementAndGet();
      send(out, "503 Service Unavailable", request, "", "X-Not-Executed", "1");
      return true;
    }
    try {
      slots.acquire();
      try {
        return run(request, out);
      } finally {
        slots.release();
      }
    } finally {
      pending.decrementAndGet();
    }
  }

  /** Runs a request; returns whether the connection stays open. */
  private boolean run(Http.Message request, OutputStream out) throws Exception {
    String requestId = request.field("X-Request-Id");
    boolean cuts = ThreadLocalRandom.current().nextDouble() < cutShare;
    if (cutShare == 0) {
      ranSoundly.add(requestId);
    }
    record.add("%s: runs %s%s", id, requestId, cuts ? ", and cuts its response" : "");
    Thread.sleep(WORK_MILLIS);
    byte[] response =
        response("200 OK", request, body(requestId), "X-Upstream-Signature", "s." + requestId);
    if (cuts) {
      out.write(response, 0, response.length / 2);
      out.flush();
      return false;
    }
    out.write(response);
    out.flush();
    return true;
  }

  private String body(String requestId) {
    String start = id + " " + requestId + " ";
    return start + "x".repeat(Math.max(0, responseBytes - start.length()));
  }

  private void send(
      OutputStream out,
      String status,
      Http.Message request,
      String body,
      String fieldName,
      String fieldValue)
      throws IOException {
    out.write(response(status, request, body, fieldName, fieldValue));
    out.flush();
  }

  private byte[] response(
      String status, Http.Message request, String body, String fieldName, String fieldValue) {
    int running = SLOTS - slots.availablePermits();
    int waiting = Math.max(0, pending.get() - running);
    return Http.encode(
        "HTTP/1.1 " + status,
        body.getBytes(StandardCharsets.UTF_8),
        "X-Request-Id",
        request.field("X-Request-Id"),
        "X-Upstream-Load",
        running + "," + waiting + "," + SLOTS + ",100",
        fieldName,
        fieldValue);
  }
}
