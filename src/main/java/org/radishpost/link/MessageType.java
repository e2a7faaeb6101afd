package org.radishpost.link;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The numbers and versions of the messages; a number is never used again for another message. */
enum MessageType {
  HEARTBEAT(1, 1, LinkMessage.Heartbeat.class),
  FAREWELL(2, 1, LinkMessage.Farewell.class),
  POOL_VIEWS(3, 1, LinkMessage.PoolViews.class),
  CALL_TAKEN(4, 1, LinkMessage.CallTaken.class),
  CONFIG_WANTED(5, 1, LinkMessage.ConfigWanted.class),
  CONFIG_RECORDS(6, 1, LinkMessage.ConfigRecords.class),
  CONFIG_SNAPSHOT(7, 1, LinkMessage.ConfigSnapshot.class),
  CLAIM_ASK(8, 1, LinkMessage.ClaimAsk.class),
  CLAIM_REPLY(9, 1, LinkMessage.ClaimReply.class),
  CLAIM_ENDED(10, 1, LinkMessage.ClaimEnded.class),
  SUSPECT_SEEN(11, 1, LinkMessage.SuspectSeen.class);

  private static final Map<Integer, MessageType> BY_NUMBER =
      Arrays.stream(values()).collect(Collectors.toMap(type -> type.number, Function.identity()));
  private static final Map<Class<?>, MessageType> BY_LAYOUT =
      Arrays.stream(values()).collect(Collectors.toMap(type -> type.layout, Function.identity()));

  final int number;
  final int version;
  final Class<? extends LinkMessage> layout;

  MessageType(int number, int version, Class<? extends LinkMessage> layout) {
    this.number = number;
    this.version = version;
    this.layout = layout;
  }

  /** Returns the type with the number, if this release knows it in that version. */
  static Optional<MessageType> find(int number, int version) {
    return Optional.ofNullable(BY_NUMBER.get(number)).filter(type -> type.version == version);
  }

  /** Returns the type of the message. */
  static MessageType of(LinkMessage message) {
    return BY_LAYOUT.get(message.getClass());
  }
}
