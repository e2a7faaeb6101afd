Feature: What fails, alone, in pairs and twice

  Scenario Outline: Targets fail
    Given a deployment with seed <seed>
    When "/lookup" calls come at 300 per second for 3 seconds
    And the targets of "gb-1" become <fault>
    And "/lookup" calls come at 300 per second for 4 seconds
    Then every request got an answer
    And every not-run is true
    And at least <share> percent of the requests of the last 3 seconds were answered
    And no cold target had more than it bears

    Examples:
      | seed | fault    | share |
      | 21   | slow     | 99    |
      | 22   | failing  | 99    |
      | 23   | draining | 99    |
      | 24   | down     | 99    |
      | 25   | cold     | 99    |
      | 26   | silent   | 95    |

  Scenario Outline: The log fails while signings come
    Given a deployment with seed <seed>
    When 5 signings are each sent 2 times through any VM
    And the log becomes <fault>
    And 8 signings are each sent 3 times through any VM
    And 2 seconds pass
    And the log stops <fault>
    And 5 signings are each sent 2 times through any VM
    And 3 seconds pass
    Then no signing ran twice
    And every not-run is true
    And every request got an answer
    And no configuration went back

    Examples:
      | seed | fault     |
      | 31   | down      |
      | 32   | slow      |
      | 33   | forgetful |

  Scenario: Every VM is replaced while callers send their signings again
    Given a deployment with seed 41
    When a signing is sent through "vm-gb-1"
    And every VM is replaced
    And 2 seconds pass
    And the same signing is sent through "vm-lo-2x"
    And the same signing is sent through "vm-dd-1x"
    And 2 seconds pass
    Then no signing ran twice

  Scenario: A paused VM wakes and acts as if it still owned its pools
    Given a deployment with seed 42
    When "/lookup" calls come at 300 per second for 2 seconds
    And VM "vm-gb-1" is paused
    And "/lookup" calls come at 300 per second for 3 seconds
    And VM "vm-gb-1" is resumed
    And "/lookup" calls come at 300 per second for 2 seconds
    Then every request got an answer
    And every not-run is true
    And at least 97 percent of the requests were answered
    And no cold target had more than it bears

  Scenario: A signing is sent again while the VM that has it is paused
    Given a deployment with seed 43
    When a signing is sent through "vm-gb-1"
    And VM "vm-gb-1" is paused
    And the same signing is sent through "vm-gb-2"
    And 1 seconds pass
    And the same signing is sent through "vm-dd-1"
    And VM "vm-gb-1" is resumed
    And 2 seconds pass
    Then no signing ran twice
    And every not-run is true

  Scenario: Operators race while the log loses answers
    Given a deployment with seed 44
    When the log becomes forgetful
    And two operators publish on the same base
    And 25 seconds pass
    Then one operator won and the other heard it
    And the same configuration is in force on every VM

  Scenario: A request that crashes targets is sent again and again
    Given a deployment with seed 45
    When "/lookup" calls come at 100 per second for 1 seconds
    And a "/lookup" request that crashes targets is sent 12 times
    Then at most 6 targets crashed
    And no cold target had more than it bears
    And every not-run is true

  Scenario: Regions are parted and joined again
    Given a deployment with seed 46
    When "/lookup" calls come at 200 per second for 2 seconds
    And regions "granite-belt" and "lockyer" are parted
    And "/lookup" calls come at 200 per second for 3 seconds
    And operators take zone "dd-1" out
    And 6 seconds pass
    And regions "granite-belt" and "lockyer" are joined
    And "/lookup" calls come at 200 per second for 2 seconds
    Then every request got an answer
    And the same configuration is in force on every VM
    And at least 98 percent of the requests were answered

  Scenario Outline: Two faults at once
    Given a deployment with seed <seed>
    When "/lookup" calls come at 200 per second for 2 seconds
    And the targets of "gb-1" become <first>
    And the targets of "dd-1" become <second>
    And 6 signings are each sent 3 times through any VM
    And "/lookup" calls come at 200 per second for 3 seconds
    Then every request got an answer
    And every not-run is true
    And no signing ran twice
    And no cold target had more than it bears
    And at least 95 percent of the requests of the last 2 seconds were answered

    Examples:
      | seed | first    | second   |
      | 51   | slow     | slow     |
      | 52   | slow     | cold     |
      | 53   | down     | cold     |
      | 54   | failing  | draining |
      | 55   | cold     | cold     |
      | 56   | silent   | cold     |
      | 57   | draining | draining |
      | 58   | failing  | slow     |

  Scenario Outline: The log fails and a VM is lost
    Given a deployment with seed <seed>
    When the log becomes <fault>
    And VM "vm-dd-1" is <what>
    And 10 signings are each sent 3 times through any VM
    And "/lookup" calls come at 100 per second for 2 seconds
    And the log stops <fault>
    And 10 seconds pass
    And 5 signings are each sent 2 times through any VM
    And 2 seconds pass
    Then no signing ran twice
    And every not-run is true
    And every request got an answer
    And no configuration went back

    Examples:
      | seed | fault     | what     |
      | 61   | down      | killed   |
      | 62   | down      | replaced |
      | 63   | slow      | paused   |
      | 64   | forgetful | killed   |
      | 65   | forgetful | replaced |

  Scenario: A zone leaves and returns under load
    Given a deployment with seed 71
    When "/lookup" calls come at 300 per second for 2 seconds
    And operators take zone "lo-1" out
    And "/lookup" calls come at 300 per second for 3 seconds
    And the targets of "lo-1" become cold
    And operators take zone "lo-1" in
    And "/lookup" calls come at 300 per second for 4 seconds
    Then at least 99 percent of the requests were answered
    And no cold target had more than it bears
    And every request got an answer
    And the same configuration is in force on every VM
