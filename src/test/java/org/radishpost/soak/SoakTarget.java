package org.radishpost.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.radishpost.lib.Endpoint;
import org.radishpost.platform.WireNames;

/**
 * A target that writes its bytes itself, so that it can be faulty in any of them.
 *
 * <p>It notes each run in the ledger before it begins.
 */
final class SoakTarget implements AutoCloseable {
  /** The body of its own failures. */
  static final String FAILURE = "failed";

  static final String HEALTH_PATH = "/healthz";
  static final int SLOTS = 2;

  /** What can be wrong with its answers. */
  enum Fault {
    NONE,
    SLOW,
    NOT_RUN,
    FAILING,
    HANGING,
    LOSING,
    CUTTING,
    GARBLING,
    ADDING
  }

  private static final Duration WORK = Duration.ofMillis(15);
  private static final Duration SLOW_WORK = Duration.ofMillis(600);
  private static final int QUEUE = 4;
  private static final double FAULTY_SHARE = 0.5;
  private static final int BODY_REPEATS = 400;

  private final String id;
  private final String service;
  private final Ledger ledger;
  private final Random random;
  private final ServerSocket server;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Semaphore slots = new Semaphore(SLOTS);
  private final AtomicInteger present = new AtomicInteger();
  private volatile Fault fault = Fault.NONE;

  SoakTarget(String id, String service, Ledger ledger, long seed) throws IOException {
    this.id = id;
    this.service = service;
    this.ledger = ledger;
    this.random = new Random(seed);
    this.server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  /** Returns the body of a good answer. */
  static String body(String target, String request) {
    String line = target + " " + request + "\n";
    return line.repeat(1 + Math.floorMod(request.hashCode(), BODY_REPEATS));
  }

  /** Returns the proof that a target has answered a request. */
  static String proof(String request) {
    return "proof-of-" + request;
  }

  String id() {
    return id;
  }

  String service() {
    return service;
  }

  Endpoint address() {
    return new Endpoint(server.getInetAddress().getHostAddress(), server.getLocalPort());
  }

  void fault(Fault newest) {
    fault = newest;
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        sockets.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return; // The target was closed.
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = socket.getInputStream();
      OutputStream out = socket.getOutputStream();
      Optional<HttpText.Message> request = HttpText.read(in);
      while (request.isPresent() && answer(request.get(), out)) {
        request = HttpText.read(in);
      }
    } catch (IOException | InterruptedException e) {
      // The entry broke the connection off, or this target ended: what ran is in the ledger.
    } finally {
      sockets.remove(socket);
    }
  }

  /** Answers a request; returns whether the connection goes on. */
  private boolean answer(HttpText.Message request, OutputStream out)
      throws IOException, InterruptedException {
    if (request.word(1).equals(HEALTH_PATH)) {
      return send(out, 200, Map.of(), "ok");
    }
    String expected = request.header(WireNames.EXPECTED_TARGET);
    if (!expected.isEmpty() && !expected.equals(id)) {
      return send(out, 421, Map.of(WireNames.NOT_EXECUTED, "1"), "");
    }
    Fault now = random.nextDouble() < FAULTY_SHARE ? fault : Fault.NONE;
    try {
      if (present.incrementAndGet() > SLOTS + QUEUE || now == Fault.NOT_RUN) {
        return send(out, 503, Map.of(WireNames.NOT_EXECUTED, "1"), "");
      }
      if (!slots.tryAcquire(1, TimeUnit.SECONDS)) {
        return send(out, 503, Map.of(WireNames.NOT_EXECUTED, "1"), "");
      }
      try {
        return run(request, now, out);
      } finally {
        slots.release();
      }
    } finally {
      present.decrementAndGet();
    }
  }

  private boolean run(HttpText.Message request, Fault now, OutputStream out)
      throws IOException, InterruptedException {
    String name = request.header(WireNames.REQUEST_ID);
    ledger.ran(
        name,
        new Ledger.Run(
            id, service, request.word(0), request.word(1), request.text(), System.nanoTime()));
    Thread.sleep(now == Fault.SLOW ? SLOW_WORK : WORK);
    Map<String, String> proven = new LinkedHashMap<>();
    proven.put(WireNames.REQUEST_ID, name);
    proven.put(WireNames.UPSTREAM_SIGNATURE, proof(name));
    byte[] whole = bytes(200, proven, body(id, name));
    switch (now) {
      case NONE, SLOW, NOT_RUN -> out.write(whole);
      case FAILING -> out.write(bytes(500, proven, FAILURE));
      case HANGING -> Thread.sleep(Duration.ofSeconds(3));
      case CUTTING -> out.write(whole, 0, whole.length - 2);
      case GARBLING -> out.write("no answer at all\n\n\n".getBytes());
      case ADDING -> {
        out.write(whole);
        out.write(bytes(200, proven, body(id, name)));
      }
      default -> {
        // The answer is lost with the connection.
      }
    }
    return now == Fault.NONE || now == Fault.SLOW || now == Fault.FAILING || now == Fault.ADDING;
  }

  private boolean send(OutputStream out, int status, Map<String, String> headers, String body)
      throws IOException {
    out.write(bytes(status, headers, body));
    return true;
  }

  private byte[] bytes(int status, Map<String, String> more, String body) {
    Map<String, String> headers = new LinkedHashMap<>(more);
    headers.put(WireNames.RESPONDING_TARGET, id);
    int running = SLOTS - slots.availablePermits();
    int waiting = Math.max(0, present.get() - running);
    headers.put(WireNames.LOAD_REPORT, running + "," + waiting + "," + SLOTS + ",100");
    return HttpText.bytes("HTTP/1.1 " + status + " Said", headers, body.getBytes());
  }
}
