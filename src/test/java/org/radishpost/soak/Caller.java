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

/** A caller that keeps its connection to an entry until the entry or the link ends it. */
final class Caller implements Runnable {
  private static final int DEADLINE_MILLIS = 2_000;
  private static final int READ_LIMIT_MILLIS = 5_000;
  private static final int MAX_BODY_LINES = 3_000;
  private static final int MAX_PAUSE_MILLIS = 40;
  private static final int PAUSE_AFTER_FAILURE_MILLIS = 50;
  private static final int PIPELINED = 3;

  private final String name;
  private final Random random;
  private final Ledger ledger;
  private final Map<String, Endpoint> ways;
  private final BooleanSupplier goesOn;
  private int made;

  Caller(
      String name, long seed, Ledger ledger, Map<String, Endpoint> ways, BooleanSupplier goesOn) {
    this.name = name;
    this.random = new Random(seed);
    this.ledger = ledger;
    this.ways = ways;
    this.goesOn = goesOn;
  }

  @Override
  public void run() {
    List<String> entries = List.copyOf(ways.keySet());
    while (goesOn.getAsBoolean()) {
      String entry = entries.get(random.nextInt(entries.size()));
      Endpoint way = ways.get(entry);
      try (Socket socket = new Socket(way.ip(), way.port())) {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_LIMIT_MILLIS);
        while (goesOn.getAsBoolean() && exchange(entry, socket)) {
          Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
        }
      } catch (IOException e) {
        pause(); // The entry or the link is down; what was sent has its outcome.
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sends one read on a connection of its own; returns whether a target answered it. */
  boolean reads(String entry, String prefix) {
    Endpoint way = ways.get(entry);
    String id = name + "-" + made++;
    Ledger.Request request = new Ledger.Request(id, entry, "GET", prefix + id, true, "reading", "");
    ledger.sent(request);
    try (Socket socket = new Socket(way.ip(), way.port())) {
      socket.setSoTimeout(READ_LIMIT_MILLIS);
      send(List.of(request), socket);
      Optional<HttpText.Message> answer = HttpText.read(socket.getInputStream());
      return answer.filter(message -> message.status() == 200).isPresent();
    } catch (IOException e) {
      return false; // The entry is not back yet.
    }
  }

  private void pause() {
    try {
      Thread.sleep(PAUSE_AFTER_FAILURE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends one request, or several reads at once; returns whether the connection goes on. */
  private boolean exchange(String entry, Socket socket) throws IOException {
    List<Ledger.Request> batch = batch(entry);
    for (Ledger.Request request : batch) {
      ledger.sent(request);
    }
    for (int done = 0; done < batch.size(); done++) {
      try {
        if (done == 0) {
          send(batch, socket);
        }
        if (!receive(batch.get(done), socket)) {
          return false;
        }
      } catch (IOException e) {
        ledger.ended(batch.get(done).id(), 0);
        throw e;
      }
    }
    return true;
  }

  private List<Ledger.Request> batch(String entry) {
    List<Ledger.Request> batch = new ArrayList<>();
    int kind = random.nextInt(10);
    int size = kind == 0 ? PIPELINED : 1;
    for (int i = 0; i < size; i++) {
      batch.add(request(entry, kind));
    }
    return batch;
  }

  private Ledger.Request request(String entry, int kind) {
    String id = name + "-" + made++;
    if (kind < 6) {
      return new Ledger.Request(id, entry, "GET", "/reads/" + id, true, "reading", "");
    }
    String body = (id + "\n").repeat(kind == 9 ? random.nextInt(MAX_BODY_LINES) : 1);
    return new Ledger.Request(id, entry, "POST", "/writes/" + id, false, "writing", body);
  }

  private void send(List<Ledger.Request> batch, Socket socket) throws IOException {
    for (Ledger.Request request : batch) {
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put("Host", Fleet.HOST);
      headers.put(WireNames.REQUEST_ID, request.id());
      headers.put(WireNames.DEADLINE_MILLIS, String.valueOf(DEADLINE_MILLIS));
      String first = request.method() + " " + request.path() + " HTTP/1.1";
      socket.getOutputStream().write(HttpText.bytes(first, headers, request.body().getBytes()));
    }
  }

  private boolean receive(Ledger.Request request, Socket socket) throws IOException {
    Optional<HttpText.Message> answer = HttpText.read(socket.getInputStream());
    if (answer.isEmpty()) {
      ledger.ended(request.id(), 0);
      return false;
    }
    ledger.answered(request, answer.get());
    return !answer.get().header("Connection").equalsIgnoreCase("close");
  }
}
