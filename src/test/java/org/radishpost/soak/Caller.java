package org.radishpost.soak;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.radishpost.lib.Endpoint;
import org.radishpost.platform.WireNames;

/** Sends random requests and keeps each connection open until the entry or the link closes it. */
final class Caller implements Runnable {
  private static final int DEADLINE_MILLIS = 2_000;
  private static final int READ_TIMEOUT_MILLIS = 5_000;
  private static final int MAX_BODY_LINES = 3_000;
  private static final int MAX_PAUSE_MILLIS = 40;
  private static final int PAUSE_AFTER_FAILURE_MILLIS = 50;
  private static final int PIPELINE_LENGTH = 3;

  private final String name;
  private final Random random;
  private final RequestTracker tracker;
  private final Map<String, Endpoint> entryAddresses;
  private final BooleanSupplier keepRunning;
  private int requestCount;

  Caller(
      String name,
      long seed,
      RequestTracker tracker,
      Map<String, Endpoint> entryAddresses,
      BooleanSupplier keepRunning) {
    this.name = name;
    this.random = new Random(seed);
    this.tracker = tracker;
    this.entryAddresses = entryAddresses;
    this.keepRunning = keepRunning;
  }

  @Override
  public void run() {
    List<String> entries = List.copyOf(entryAddresses.keySet());
    while (keepRunning.getAsBoolean()) {
      String entry = entries.get(random.nextInt(entries.size()));
      Endpoint address = entryAddresses.get(entry);
      try (Socket socket = new Socket(address.ip(), address.port())) {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        while (keepRunning.getAsBoolean() && exchangeBatch(entry, socket)) {
          Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
        }
      } catch (IOException e) {
        // The entry or the link is down; the outcome of each request sent is already recorded.
        pauseAfterFailure();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sends one read on a new connection; returns whether the response has status 200. */
  boolean sendRead(String entry, String pathPrefix) {
    Endpoint address = entryAddresses.get(entry);
    String id = name + "-" + requestCount++;
    RequestTracker.Request request =
        new RequestTracker.Request(id, entry, "GET", pathPrefix + id, true, "reading", "");
    tracker.recordRequest(request);
    try (Socket socket = new Socket(address.ip(), address.port())) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      send(List.of(request), socket);
      Optional<HttpCodec.Message> response = HttpCodec.read(socket.getInputStream());
      return response.filter(message -> message.status() == 200).isPresent();
    } catch (IOException e) {
      return false; // The entry has not recovered yet.
    }
  }

  private void pauseAfterFailure() {
    try {
      Thread.sleep(PAUSE_AFTER_FAILURE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends one request or several pipelined reads; returns whether the connection remains open. */
  private boolean exchangeBatch(String entry, Socket socket) throws IOException {
    List<RequestTracker.Request> batch = nextBatch(entry);
    for (RequestTracker.Request request : batch) {
      tracker.recordRequest(request);
    }
    for (int index = 0; index < batch.size(); index++) {
      try {
        if (index == 0) {
          send(batch, socket);
        }
        if (!receive(batch.get(index), socket)) {
          return false;
        }
      } catch (IOException e) {
        tracker.recordOutcome(batch.get(index).id(), 0);
        throw e;
      }
    }
    return true;
  }

  private List<RequestTracker.Request> nextBatch(String entry) {
    List<RequestTracker.Request> batch = new ArrayList<>();
    int draw = random.nextInt(10);
    int size = draw == 0 ? PIPELINE_LENGTH : 1;
    for (int number = 0; number < size; number++) {
      batch.add(nextRequest(entry, draw));
    }
    return batch;
  }

  private RequestTracker.Request nextRequest(String entry, int draw) {
    String id = name + "-" + requestCount++;
    if (draw < 6) {
      return new RequestTracker.Request(id, entry, "GET", "/reads/" + id, true, "reading", "");
    }
    String body = (id + "\n").repeat(draw == 9 ? random.nextInt(MAX_BODY_LINES) : 1);
    return new RequestTracker.Request(id, entry, "POST", "/writes/" + id, false, "writing", body);
  }

  private void send(List<RequestTracker.Request> batch, Socket socket) throws IOException {
    for (RequestTracker.Request request : batch) {
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put("Host", SoakSystem.HOST);
      headers.put(WireNames.REQUEST_ID, request.id());
      headers.put(WireNames.DEADLINE_MILLIS, String.valueOf(DEADLINE_MILLIS));
      String requestLine = request.method() + " " + request.path() + " HTTP/1.1";
      socket
          .getOutputStream()
          .write(HttpCodec.encode(requestLine, headers, request.body().getBytes()));
    }
  }

  private boolean receive(RequestTracker.Request request, Socket socket) throws IOException {
    Optional<HttpCodec.Message> response = HttpCodec.read(socket.getInputStream());
    if (response.isEmpty()) {
      tracker.recordOutcome(request.id(), 0);
      return false;
    }
    tracker.recordResponse(request, response.get());
    return !response.get().header("Connection").equalsIgnoreCase("close");
  }
}
