Feature: TLS between processes
  Hosts show certificates to each other; callers check the host's.

  Scenario: hosts that show certificates of the authority talk
    Given a host's peer port with TLS
    When a peer with a certificate of the same authority calls it
    Then the TLS call is answered

  Scenario Outline: a peer without the right certificate is kept out
    Given a host's peer port with TLS
    When a peer <with> calls it
    Then the TLS call fails as "peer-unreachable"

    Examples:
      | with                                    |
      | without TLS                             |
      | without a certificate                   |
      | with a certificate of another authority |

  Scenario: a host whose certificate is of another authority is refused
    Given a host's peer port with TLS of another authority
    When a peer with a certificate of the same authority calls it
    Then the TLS call fails as "peer-unreachable"
