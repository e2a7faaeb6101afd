package org.radishpost.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;

/**
 * What callers sent and saw and what targets ran, and which promises that breaks.
 *
 * <p>Thread-safe. Times are of {@link System#nanoTime()}.
 */
final class Ledger {
  /** Statuses that say that the request has not run and never will. */
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

  private static final Set<Integer> DENIALS = Set.of(400, 401, 403, 404, 405, 413, 431);

  private final Map<String, Request> sent = new ConcurrentHashMap<>();
  private final Map<String, Queue<Run>> runs = new ConcurrentHashMap<>();
  private final Map<String, Outcome> outcomes = new ConcurrentHashMap<>();
  private final Queue<Violation> seen = new ConcurrentLinkedQueue<>();

  /**
   * A request of a caller.
   *
   * @param id its id
   * @param entry the entry that it was sent to
   * @param method its method
   * @param path its path
   * @param mayRepeat whether it may run more than once
   * @param service the service that its route leads to
   * @param body its body
   */
  record Request(
      String id,
      String entry,
      String method,
      String path,
      boolean mayRepeat,
      String service,
      String body) {}

  /**
   * A request as a target began to run it.
   *
   * @param target the target
   * @param service the target's service
   * @param method the method
   * @param path the path
   * @param body the body
   * @param atNanos when
   */
  record Run(
      String target, String service, String method, String path, String body, long atNanos) {}

  /**
   * How a request ended for its caller.
   *
   * @param status the status of the answer, or 0 if the connection ended without a whole one
   * @param atNanos when
   */
  record Outcome(int status, long atNanos) {}

  void sent(Request request) {
    sent.put(request.id(), request);
  }

  void ran(String id, Run run) {
    runs.computeIfAbsent(id, unused -> new ConcurrentLinkedQueue<>()).add(run);
  }

  void ended(String id, int status) {
    outcomes.put(id, new Outcome(status, System.nanoTime()));
  }

  void broken(String promise, String what) {
    seen.add(new Violation(promise, what));
  }

  /** Takes an answer: it must be that of the request, whole and as its target gave it. */
  void answered(Request request, HttpText.Message answer) {
    ended(request.id(), answer.status());
    String proof = answer.header("X-Upstream-Signature");
    boolean ofTarget = !proof.isEmpty();
    boolean good = answer.status() / 100 == 2;
    if (ofTarget || good) {
      String target = answer.header("X-Instance-Id");
      String due = good ? SoakTarget.body(target, request.id()) : SoakTarget.FAILURE;
      if (!proof.equals(SoakTarget.proof(request.id())) || !answer.text().equals(due)) {
        broken("MIXED", request.id() + " of " + request.entry() + " got " + answer.first());
      }
    } else if (DENIALS.contains(answer.status())) {
      broken("DENIED", request.id() + " of " + request.entry() + " got " + answer.text());
    }
  }

  /** Returns how many requests ended with a success. */
  long served() {
    return outcomes.values().stream().filter(outcome -> outcome.status() == 200).count();
  }

  /** Returns how many requests were sent. */
  int requests() {
    return sent.size();
  }

  /** Returns how many requests ended in each way. */
  Map<Integer, Long> byStatus() {
    return outcomes.values().stream()
        .collect(Collectors.groupingBy(Outcome::status, Collectors.counting()));
  }

  Optional<Outcome> outcome(String id) {
    return Optional.ofNullable(outcomes.get(id));
  }

  Collection<Run> runs(String id) {
    return List.copyOf(runs.getOrDefault(id, new ConcurrentLinkedQueue<>()));
  }

  /** Returns the runs that began at a target after a moment. */
  long runsAt(String target, long afterNanos) {
    return runs.values().stream()
        .flatMap(Collection::stream)
        .filter(run -> run.target().equals(target) && run.atNanos() > afterNanos)
        .count();
  }

  Collection<Request> sentTo(String entry) {
    return sent.values().stream().filter(request -> request.entry().equals(entry)).toList();
  }

  /** Returns all that was broken; to be called when nothing runs any more. */
  List<Violation> violations(int maxAttempts) {
    List<Violation> found = new ArrayList<>(seen);
    runs.forEach((id, ran) -> check(id, List.copyOf(ran), maxAttempts, found));
    return found;
  }

  private void check(String id, List<Run> ran, int maxAttempts, List<Violation> found) {
    Request request = sent.get(id);
    if (request == null) {
      found.add(new Violation("UNASKED", "No caller sent " + id + ", which ran: " + ran));
      return;
    }
    for (Run run : ran) {
      if (!run.method().equals(request.method())
          || !run.path().equals(request.path())
          || !run.body().equals(request.body())) {
        found.add(new Violation("UNASKED", id + " ran changed: " + run));
      }
      if (!run.service().equals(request.service())) {
        found.add(new Violation("ROUTE", id + " ran at " + run.service()));
      }
    }
    if (!request.mayRepeat() && ran.size() > 1) {
      found.add(new Violation("TWICE", id + " ran " + ran.size() + " times"));
    }
    if (ran.size() > maxAttempts) {
      found.add(new Violation("BUDGET", id + " ran " + ran.size() + " times"));
    }
    boolean refused = outcome(id).filter(end -> NOT_RUN.contains(end.status())).isPresent();
    if (!request.mayRepeat() && refused) {
      found.add(new Violation("REFUSED", id + " was refused and ran: " + ran));
    }
  }
}
