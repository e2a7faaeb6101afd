package org.radishpost.feed;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A reader that records its calls; tests set its position. */
final class FakeReader implements FeedReader {
  final List<String> calls = new ArrayList<>();
  private final Map<Feed, TopicOffset> snapshots = new EnumMap<>(Feed.class);
  Optional<Position> position = Optional.of(TestOffsets.position(10, 20));

  @Override
  public Optional<Position> position() {
    return position;
  }

  @Override
  public void applySnapshot(Feed feed, List<KeyedRecord> records, TopicOffset nextOffset) {
    calls.add("newest " + feed + " " + records.size() + " before " + nextOffset.offset());
    snapshots.put(feed, nextOffset);
    if (snapshots.size() == Feed.values().length) {
      position =
          Optional.of(new Position(snapshots.get(Feed.OPERATORS), snapshots.get(Feed.TARGETS)));
    }
  }

  @Override
  public void applyRecords(Feed feed, List<FeedRecord> records) {
    records.forEach(record -> calls.add(feed + " " + record.key()));
  }

  @Override
  public void advanceTo(Position newPosition) {
    position = Optional.of(newPosition);
  }

  @Override
  public void pause() {
    calls.add("pause");
  }

  @Override
  public void resume() {
    calls.add("resume");
  }
}
