package org.radishpost.node;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.radishpost.config.Configuration;
import org.radishpost.errors.RadishpostException;
import org.radishpost.link.LinkMessage;
import org.radishpost.link.PeerEvent;
import org.radishpost.membership.MemberTable;
import org.radishpost.membership.PeerPlan;
import org.radishpost.store.VmEntry;
import org.radishpost.store.VmList;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Keeps the table of members up to date from the platform's list, the links and the configuration.
 *
 * <p>Thread-safe: changes are made one at a time; after each the listener runs.
 */
final class Membership {
  private static final Duration LIST_INTERVAL = Duration.ofSeconds(1);

  private final MemberTable table;
  private final VmList list;
  private final Consumer<Set<VmEntry>> keepLinks;
  private final Scheduler clock;
  private final Runnable listener;

  Membership(
      MemberTable table,
      VmList list,
      Consumer<Set<VmEntry>> keepLinks,
      Scheduler clock,
      Runnable listener) {
    this.table = table;
    this.list = list;
    this.keepLinks = keepLinks;
    this.clock = clock;
    this.listener = listener;
  }

  /** Reads the list again and again; disposing ends it. */
  Disposable start() {
    return Flux.interval(Duration.ZERO, LIST_INTERVAL, clock)
        .onBackpressureDrop()
        .concatMap(
            tick ->
                list.read()
                    .onErrorResume(RadishpostException.class, error -> Mono.empty())
                    .doOnNext(this::listRead),
            1)
        .subscribe();
  }

  /** Takes what happened on a link. */
  synchronized void link(PeerEvent event) {
    switch (event) {
      case PeerEvent.Up up -> table.linkUp(up.entry());
      case PeerEvent.Down down -> table.linkDown(down.peer());
      case PeerEvent.Released released -> table.linkReleased(released.peer());
      case PeerEvent.MessageReceived told -> told(told);
    }
  }

  /** Takes the configuration in force. */
  synchronized void configuration(Configuration configuration) {
    table.updateConfiguration(configuration);
    changed();
  }

  /** Takes this VM out of every ownership before it stops. */
  synchronized void leaving() {
    table.shutdownAnnounced(table.self().id());
    changed();
  }

  private void told(PeerEvent.MessageReceived told) {
    switch (told.message()) {
      case LinkMessage.ShutdownNotice farewell -> {
        table.shutdownAnnounced(told.peer());
        changed();
      }
      case LinkMessage.Heartbeat heartbeat ->
          table.configVersionReported(told.peer(), heartbeat.configVersion());
      default -> {}
    }
  }

  private synchronized void listRead(List<VmEntry> entries) {
    table.updateList(entries);
    changed();
  }

  private void changed() {
    keepLinks.accept(PeerPlan.DEFAULT.peers(table.self(), table.all()));
    listener.run();
  }
}
