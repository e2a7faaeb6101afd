package org.radishpost.node;

import java.util.Optional;
import org.radishpost.http.HeaderNames;
import org.radishpost.http.Response;
import org.radishpost.lib.Verdict;
import org.radishpost.routing.RouteMatch;

/** One request of a scenario and its response. */
final class ScenarioCall {
  final String request;
  final String path;
  final ScenarioVm vm;
  final long sentMillis;
  Optional<RouteMatch> match = Optional.empty();
  Optional<Response> response = Optional.empty();
  long endedMillis = -1;

  ScenarioCall(String request, String path, ScenarioVm vm, long sentMillis) {
    this.request = request;
    this.path = path;
    this.vm = vm;
    this.sentMillis = sentMillis;
  }

  void complete(Response received, long nowMillis) {
    response = Optional.of(received);
    endedMillis = nowMillis;
    received.body().subscribe(part -> part.release(), error -> {});
  }

  int status() {
    return response.map(Response::status).orElse(0);
  }

  boolean isSuccessful() {
    return status() == 200;
  }

  boolean isNotRun() {
    return response
        .filter(r -> r.refusalVerdict().equals(Optional.of(Verdict.NOT_RUN)))
        .isPresent();
  }

  boolean isReplayed() {
    return response.filter(r -> r.headers().contains(HeaderNames.REPLAYED)).isPresent();
  }

  @Override
  public String toString() {
    return request
        + " "
        + path
        + " "
        + vm.entry.id()
        + " "
        + sentMillis
        + " -> "
        + status()
        + " at "
        + endedMillis
        + (isNotRun() ? " not-run" : "");
  }
}
