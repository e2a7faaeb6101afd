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
  private static final Duration LIST_READ_INTERVAL = Duration.ofSeconds(1);

  private final MemberTable table;
  private final VmList vmList;
  private final Consumer<Set<VmEntry>> maintainLinks;
  private final Scheduler clock;
  private final Runnable changeListener;

  Membership(
      MemberTable table,
      VmList vmList,
      Consumer<Set<VmEntry>> maintainLinks,
      Scheduler clock,
      Runnable changeListener) {
    this.table = table;
    this.vmList = vmList;
    this.maintainLinks = maintainLinks;
    this.clock = clock;
    this.changeListener = changeListener;
  }

  /** Reads the list again and again; disposing ends it. */
  Disposable start() {
    return Flux.interval(Duration.ZERO, LIST_READ_INTERVAL, clock)
        .onBackpressureDrop()
        .concatMap(
            tick ->
                vmList
                    .read()
                    .onErrorResume(RadishpostException.class, error -> Mono.empty())
                    .doOnNext(this::onListRead),
            1)
        .subscribe();
  }

  /** Takes what happened on a link. */
  synchronized void onPeerEvent(PeerEvent event) {
    switch (event) {
      case PeerEvent.Up up -> table.linkUp(up.entry());
      case PeerEvent.Down down -> table.linkDown(down.peer());
      case PeerEvent.Released released -> table.linkReleased(released.peer());
      case PeerEvent.Told told -> onPeerMessage(told);
    }
  }

  /** Takes the configuration in force. */
  synchronized void onConfiguration(Configuration configuration) {
    table.configuration(configuration);
    notifyChanged();
  }

  /** Takes this VM out of every ownership before it stops. */
  synchronized void markSelfLeaving() {
    table.farewell(table.self().id());
    notifyChanged();
  }

  private void onPeerMessage(PeerEvent.Told told) {
    switch (told.message()) {
      case LinkMessage.Farewell farewell -> {
        table.farewell(told.peer());
        notifyChanged();
      }
      case LinkMessage.Heartbeat heartbeat ->
          table.heartbeat(told.peer(), heartbeat.configVersion());
      default -> {}
    }
  }

  private synchronized void onListRead(List<VmEntry> entries) {
    table.listRead(entries);
    notifyChanged();
  }

  private void notifyChanged() {
    maintainLinks.accept(PeerPlan.DEFAULT.peers(table.self(), table.all()));
    changeListener.run();
  }
}
